import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { hashBlocks } from "../blockKeys.js";
import { createCacheIndex } from "../cacheIndex.js";

const page = (incarnation: string, ...events: { sequence: number; stored?: string[]; evicted?: string[]; }[]) => ({
    incarnation,
    events: events.map(event => ({ stored: [], evicted: [], ...event })),
    cursor: events.at(-1)?.sequence ?? 0,
});

describe("cache index", () => {
    test("matches as many blocks as a model with one set per engine after random changes", () => {
        const random = createSeededRandom(3);
        const index = createCacheIndex(100_000);
        const names = [...Array(40).keys()].map(number => `e${number}`);
        const model = new Map(names.map(name => [name, new Set<string>()]));
        const draw = () => {
            const chain = random.integerBelow(12);
            return [...Array(1 + random.integerBelow(10)).keys()].map(depth => `${chain}-${depth}`);
        };
        for (let step = 0; step < 3_000; step++) {
            const name = names[random.integerBelow(names.length)]!;
            const blocks = draw();
            if (random.integerBelow(3) === 0) {
                index.view(name).removeAfter(hashBlocks(blocks), 1);
                blocks.slice(1).forEach(block => model.get(name)!.delete(block));
            }
            else {
                index.view(name).addExpected(hashBlocks(blocks));
                blocks.forEach(block => model.get(name)!.add(block));
            }
            const queried = draw();
            const match = index.match(queried);
            for (const other of names) {
                const end = queried.findIndex(block => !model.get(other)!.has(block));
                assert.equal(match.countMatchedBlocks(index.view(other)), end < 0 ? queried.length : end);
            }
        }
    });

    test("stays within its limit and retains the most recently added blocks", () => {
        const index = createCacheIndex(1_024);
        for (let prompt = 0; prompt < 2_000; prompt++) {
            index.view("e1").addExpected(hashBlocks(["shared", `own-${prompt}`, `tail-${prompt}`]));
        }
        assert.ok(index.size() <= 1_024, `${index.size()}`);
        assert.equal(index.match(["shared", "own-1999", "tail-1999"]).countMatchedBlocks(index.view("e1")), 3);
        assert.equal(index.match(["own-0"]).countMatchedBlocks(index.view("e1")), 0);
    });

    test("a gap in the events clears the engine's view, and a repeated event does not", () => {
        const index = createCacheIndex();
        const view = index.view("e1");
        view.apply(page("1", { sequence: 1, stored: ["a"] }, { sequence: 2, stored: ["b"] }));
        view.apply(page("1", { sequence: 2, stored: ["b"] }));
        assert.equal(index.match(["a", "b"]).countMatchedBlocks(view), 2);
        view.apply(page("1", { sequence: 4, stored: ["c"] }));
        assert.equal(index.match(["a"]).countMatchedBlocks(view), 0);
        assert.equal(index.match(["c"]).countMatchedBlocks(view), 1);
    });

    test("a restart of an engine clears its view and resets the cursor", () => {
        const index = createCacheIndex();
        const view = index.view("e1");
        view.apply(page("1", { sequence: 7, stored: ["a"] }));
        view.applyIncarnation("2");
        assert.equal(index.match(["a"]).countMatchedBlocks(view), 0);
        assert.equal(view.cursor(), 0);
        view.apply(page("2", { sequence: 1, stored: ["b"] }));
        assert.equal(index.match(["b"]).countMatchedBlocks(view), 1);
    });

    test("an engine that gets the slot of a removed engine starts empty", () => {
        const index = createCacheIndex();
        index.view("e1").addExpected(hashBlocks(["a"]));
        index.removeEngine("e1");
        assert.equal(index.match(["a"]).countMatchedBlocks(index.view("e2")), 0);
        assert.equal(index.size(), 0);
    });
});

import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTargetLinks, DialPlan } from "../createTargetLinks.js";

const timeout = { isRefused: false, message: "connect timeout" };
const first = "10.0.0.1:80";
const second = "10.0.0.2:80";
const third = "10.0.0.3:80";

function createLinks() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    return { clock, eventLog, links: createTargetLinks(clock, eventLog) };
}

function loseLink({ links }: ReturnType<typeof createLinks>, address: string): void {
    links.recordFailure(address, timeout);
    links.recordLost(address);
}

// Guards against logs that name only targets while the process's own links are at fault.
test("the first lost link and the return of the last one are logged, with the numbers of links", async () => {
    const setup = createLinks();
    const { clock, eventLog, links } = setup;
    links.recordOpened(third);
    loseLink(setup, first);
    loseLink(setup, second);
    assert.equal(links.isCutOff(), true);
    await clock.advance(10);
    links.recordOpened(first);
    assert.equal(links.isCutOff(), false);
    links.recordOpened(second);
    const logged = eventLog.events.map(({ kind, fields }) => ({
        kind,
        lost: fields["lost"],
        working: fields["working"],
    }));
    assert.deepEqual(logged, [
        { kind: EventKind.LinksLost, lost: 1, working: 1 },
        { kind: EventKind.LinksRestored, lost: 0, working: 3 },
    ]);
});

// Guards against calls that wait for connections that never open while older ones still answer.
test("an answer over an open connection does not show that a lost link is back", () => {
    const setup = createLinks();
    const { links } = setup;
    loseLink(setup, first);
    links.recordAnswered(first);
    assert.equal(links.isLost(first), true);
    assert.equal(links.planDial(first), DialPlan.Relay);
    links.recordAnswered(second);
    assert.equal(links.isCutOff(), false, "the link to another target works");
});

test("failures that no peer contradicts are not taken for a lost link", () => {
    const { eventLog, links } = createLinks();
    links.recordFailure(first, timeout);
    links.recordFailure(second, timeout);
    assert.equal(links.isLost(first), false);
    assert.equal(links.isCutOff(), false);
    assert.equal(eventLog.events.length, 0);
});

// Guards against probes of each target by each process, and against a burst once links are back.
test("lost links are tried again at intervals, together seldom, and all at once after one of them works", async () => {
    const setup = createLinks();
    const { clock, links } = setup;
    [first, second, third].forEach(address => loseLink(setup, address));
    assert.deepEqual([first, second].map(links.planDial), [DialPlan.Relay, DialPlan.Relay]);
    await clock.advance(500);
    assert.deepEqual([first, second].map(links.planDial), [DialPlan.Both, DialPlan.Relay]);
    await clock.advance(50);
    assert.deepEqual([first, second].map(links.planDial), [DialPlan.Relay, DialPlan.Both]);
    links.recordOpened(first);
    assert.deepEqual([first, second, third].map(links.planDial), [DialPlan.Direct, DialPlan.Both, DialPlan.Relay]);
});

test("a lost link that nothing has needed for ten seconds counts as working until the next attempt", async () => {
    const setup = createLinks();
    loseLink(setup, first);
    await setup.clock.advance(10_001);
    assert.equal(setup.links.isLost(first), false);
    assert.equal(setup.links.planDial(first), DialPlan.Direct);
});

// Guards against callers that wait for targets that nothing reaches.
test("a target that nothing reaches is tried by one connection each half second, and the others fail at once", async () => {
    const { clock, links } = createLinks();
    links.recordNoWay(first, false);
    assert.equal(links.planDial(first), DialPlan.None);
    await clock.advance(501);
    assert.deepEqual([1, 2, 3].map(() => links.planDial(first)), [DialPlan.Direct, DialPlan.None, DialPlan.None]);
    links.recordNoWay(first, true);
    assert.deepEqual([1, 2].map(() => links.planDial(first)), [DialPlan.Direct, DialPlan.Direct]);
});

// Guards against a process that takes a failure of its own links for one of a target.
test("only a connection to another target after a failure shows that the links work", async () => {
    const setup = createLinks();
    const { clock, links } = setup;
    links.recordOpened(third);
    await clock.advance(10);
    links.recordOpened(second);
    links.recordFailure(first, timeout);
    assert.equal(links.hasOpenedSinceFailure(first), false);
    assert.deepEqual(links.listOthers(first), [second, third]);
    loseLink(setup, third);
    assert.deepEqual(links.listOthers(first), [second]);
    await clock.advance(1);
    links.recordOpened(second);
    assert.equal(links.hasOpenedSinceFailure(first), true);
});

import { EventKind, FailureReason, FakeClock, MemoryEventLog, notRun } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ok } from "true-myth/result";
import { type PeerListing, PeerRegistry, type RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { CoordinatorLink } from "../createCoordinatorLink.js";
import { createRefreshRequest, watchPeers } from "../watchPeers.js";

/** The time after which an entry may be taken for that of a process that has ended. */
const staleMilliseconds = 900_000;
const stepMilliseconds = 1_000;

function createPeer(peerId: string): RegisteredPeer {
    return { peerId, host: "10.0.0.1", port: 7_660, availabilityZone: "zone-a", strength: 1 };
}

/** Watches a registry of two processes for a process that has contact with a coordinator and is none itself. */
async function watchFor(milliseconds: number, more: Partial<PeerListing> = {}) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const self = createPeer("self");
    const peers = [self, createPeer("other")];
    const refreshedAt: number[] = [];
    let listed: readonly RegisteredPeer[] = [];
    class CountingRegistry extends PeerRegistry {
        override refresh() {
            refreshedAt.push(clock.monotonicNow());
            return Promise.resolve(ok({ peers, unreadable: 0, ...more }));
        }

        override async leave() {}
    }
    const link: Partial<CoordinatorLink> = {
        setPeers: given => {
            listed = given;
        },
        hasContact: () => true,
        isCandidate: () => false,
        countProcesses: () => peers.length,
        countListed: () => peers.length,
    };
    const stop = new AbortController();
    const { refreshRequest } = createRefreshRequest(clock);
    const registry = new CountingRegistry();
    void watchPeers({ self, registry, link: link as CoordinatorLink, refreshRequest, clock, eventLog }, stop.signal);
    const startedAt = clock.monotonicNow();
    while (clock.monotonicNow() < startedAt + milliseconds) {
        await clock.advance(stepMilliseconds);
    }
    stop.abort();
    return { refreshedAt, listed, eventLog };
}

describe("a process that watches the registry of its peers", () => {
    // Guards against entries of living processes that count as those of ended ones, as a coordinator names the peers.
    it("renews its entry before it can count as that of an ended process", async () => {
        const { refreshedAt } = await watchFor(3 * staleMilliseconds);
        const pauses = refreshedAt.slice(1).map((at, index) => at - (refreshedAt[index] ?? 0));
        assert.ok(refreshedAt.length >= 4 && refreshedAt.length <= 12, `${refreshedAt.length} refreshes`);
        assert.ok(Math.max(...pauses) < staleMilliseconds / 2, `${Math.max(...pauses)} ms`);
    });

    // Guards against a process that knows no other one as long as the store refuses its entry.
    it("uses the list although its entry can't be written, and goes on trying", async () => {
        const writeFailure = notRun(FailureReason.StoreUnavailable, "the store answered with status 400");
        const { refreshedAt, listed, eventLog } = await watchFor(10_000, { writeFailure });
        assert.deepEqual(listed.map(({ peerId }) => peerId), ["self", "other"]);
        assert.ok(refreshedAt.length >= 9);
        assert.match(String(eventLog.of(EventKind.Fault)[0]?.fields.reason), /could not register .* status 400/);
    });
});

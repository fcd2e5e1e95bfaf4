import { createFleet } from "../../forwarding/coordination/__fixtures__/createFleet.js";
import { createQuotas, type Quotas } from "../createQuotas.js";
import { rankHomes } from "../rankHomes.js";

export const quota = "target:t-1";
/** Processes have found each other, and have run for longer than a new one does nothing. */
const settleMilliseconds = 6_000;
const stepMilliseconds = 20;

interface Member {
    quotas: Quotas;
    ended: AbortController;
    /** Monotonic time until which it takes no token. */
    waitsUntil: number;
}

/** Processes that take tokens of one quota as fast as they may. */
export async function createQuotaFleet(processes: number) {
    const fleet = createFleet(processes, 3);
    const { clock } = fleet;
    const granted: number[] = [];
    const members: Member[] = [];
    const heard: number[] = [];

    const launch = (index: number) => {
        const { coordination, eventLog } = fleet.processes[index] ?? assertNever();
        const ended = new AbortController();
        const quotas = createQuotas({
            ...coordination,
            onAnnounced: ({ perSecond }) => heard.push(perSecond),
            clock,
            eventLog,
            signal: ended.signal,
        });
        members[index] = { quotas, ended, waitsUntil: -Infinity };
    };

    const take = async (member: Member, perSecond: number) => {
        if (member.ended.signal.aborted || clock.monotonicNow() < member.waitsUntil) {
            return;
        }
        member.waitsUntil = Infinity;
        const { isGranted, wait } = await member.quotas.take({ quota, perSecond, age: 0 });
        member.waitsUntil = clock.monotonicNow() + wait;
        if (isGranted && !member.ended.signal.aborted) {
            granted.push(clock.monotonicNow());
        }
    };

    fleet.processes.forEach((value, index) => launch(index));
    await clock.advance(settleMilliseconds);
    const ranking = rankHomes(quota, fleet.processes.map(({ self }) => self)).map(({ peerId }) => peerId);
    const indexOf = (rank: number) => fleet.processes.findIndex(({ self }) => self.peerId === ranking[rank]);
    return {
        ...fleet,
        members,
        heard,
        /** Index of the process at a place of the quota's ranking; the home is at place 0. */
        indexOf,
        nameOf: (rank: number) => ranking[rank] ?? "",
        end: (index: number) => {
            fleet.processes[index]?.end();
            fleet.listeners.delete(fleet.processes[index]?.self.port ?? 0);
            members[index]?.ended.abort();
        },
        /** Starts a process under the same name, without any of its state. */
        restart: (index: number) => {
            members[index]?.ended.abort();
            fleet.restart(index);
            launch(index);
        },
        run: async (milliseconds: number, perSecond: number) => {
            for (let step = 0; step < milliseconds / stepMilliseconds; step++) {
                members.forEach(member => void take(member, perSecond));
                await clock.advance(stepMilliseconds);
            }
        },
        /** Grants since a monotonic time. */
        countSince: (from: number) => granted.filter(at => at >= from).length,
        /** The most grants of any window beyond the quota. */
        findExcess: (perSecond: number) =>
            Math.max(
                ...granted.flatMap((from, first) =>
                    granted.slice(first).map((to, count) => count + 1 - perSecond * (to - from) / 1_000)
                ),
            ),
        stop: async () => {
            members.forEach(({ ended }) => ended.abort());
            await fleet.stop();
        },
    };
}

export type QuotaFleet = Awaited<ReturnType<typeof createQuotaFleet>>;

function assertNever(): never {
    throw new Error("no such process");
}

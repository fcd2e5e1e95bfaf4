import { createIdSource, createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import { createFakeIdentity } from "../../../__fixtures__/fakePeerNetwork.js";
import { DutyAnswer, type DutyAuthority, FleetDuties } from "../../../ports/duties/fleetDuties.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import type { TableService } from "../../../ports/tableService.js";
import { createLeaseManager } from "../../lease/index.js";
import { hostTable } from "../../orders/__fixtures__/hostTable.js";
import { CallKind, createProcessHost, type ProcessHost } from "../../orders/__fixtures__/processHost.js";
import { createStoreClient } from "../../store/index.js";
import { createDutyHolder, dutyLeaseMarginMilliseconds, dutyRenewalMilliseconds } from "../createDutyHolder.js";

/** A call as the platform received it. */
export interface ReceivedCall extends DutyAuthority {
    /** Time of the test's clock. */
    readonly at: number;
    /** The incarnation of the process that made the call. */
    readonly incarnation: number;
    readonly call: object;
}

export const dutyLeaseMilliseconds = 3_000;
export const thawMilliseconds = 300;

/** Creates a fleet of processes with a store and a platform in memory. */
export function createDutyFleet() {
    const clock = new FakeClock();
    const table = createMemoryTableService();
    const received: ReceivedCall[] = [];
    /** Returns the platform's answer to the call that it has just received. */
    let answer = (): Promise<DutyAnswer> => Promise.resolve(DutyAnswer.Accepted);
    let incarnations = 0;

    const createDuties = (host: ProcessHost, incarnation: number): FleetDuties => {
        const send = (call: object, authority: DutyAuthority, deadline: number) => {
            const run = async () => {
                if (authority.isUsable?.() === false) {
                    return DutyAnswer.Unknown;
                }
                received.push({ ...authority, at: clock.monotonicNow(), incarnation, call });
                return answer();
            };
            const timeout = host.clock.sleepUntil(deadline).then(() => DutyAnswer.Unknown);
            const failures = { unknown: DutyAnswer.Unknown, notSent: DutyAnswer.Unknown };
            return Promise.race([host.call(CallKind.EngineOrder, run, failures), timeout]);
        };
        class HostedDuties extends FleetDuties {
            override reportUsage = send;
            override orderEngines = send;
            override close(): Promise<void> {
                return Promise.resolve();
            }
        }
        return new HostedDuties();
    };

    const start = (name: string, isCoordinator: () => boolean, checksFences = false) => {
        const incarnation = ++incarnations;
        const host = createProcessHost(clock, 5_000);
        const eventLog = new MemoryEventLog();
        const random = createSeededRandom(incarnation);
        const hosted: TableService = hostTable(host, table);
        const self = { ...createFakeIdentity(name), incarnation: `${name}-${incarnation}` };
        const storeClient = createStoreClient({
            tableService: hosted,
            clock: host.clock,
            random,
            eventLog,
            writesPerSecond: 100,
            readsPerSecond: 100,
        });
        const leaseManager = createLeaseManager({
            name: "duties",
            self,
            storeClient,
            clock: host.clock,
            random,
            ids: createIdSource(self.incarnation),
            eventLog,
            leaseMilliseconds: dutyLeaseMilliseconds,
            marginMilliseconds: dutyLeaseMarginMilliseconds,
            renewalIntervalMilliseconds: dutyRenewalMilliseconds,
            mayTakeOver: isCoordinator,
        });
        const holder = createDutyHolder({
            holder: name,
            duties: createDuties(host, incarnation),
            leaseManager,
            isCoordinator,
            mayKeep: () => false,
            isCutOff: () => false,
            leaseMilliseconds: dutyLeaseMilliseconds,
            checksFences,
            callsPerSecond: 50,
            thawMilliseconds,
            clock: host.clock,
            eventLog,
        });
        const stopper = new AbortController();
        const stopped = holder.run(stopper.signal);
        return {
            name,
            host,
            eventLog,
            storeClient,
            leaseManager,
            calls: holder.calls,
            stopped,
            stop: () => stopper.abort(),
        };
    };

    return {
        clock,
        table,
        received,
        start,
        setAnswer: (next: () => Promise<DutyAnswer>) => {
            answer = next;
        },
    };
}

export type DutyProcess = ReturnType<ReturnType<typeof createDutyFleet>["start"]>;

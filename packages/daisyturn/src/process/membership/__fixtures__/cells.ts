import { createSeededRandom, type Failure, FailureReason, FakeClock, MemoryEventLog, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { createFakeIdentity, createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import { PausableClock } from "../../../__fixtures__/pausableClock.js";
import { type VmEntry, VmList, type VmListing, VmState } from "../../../ports/vmList.js";
import type { DialingPeerNetwork, MemberState, ProcessIdentity } from "../../peers/index.js";
import { createMembership, type MembershipOptions, type RunningMembership } from "../createMembership.js";

/** A VM list that fails until it is given entries; its listings are dated `lag` milliseconds in the past. */
export class FakeVmList extends VmList {
    entries: readonly VmEntry[] | undefined;
    lag = 0;

    constructor(private readonly clock: FakeClock) {
        super();
    }

    /** Lists the VMs of these processes. */
    show(...processIds: readonly string[]): void {
        this.entries = processIds.map(processId => ({
            vmId: `vm-${processId}`,
            address: `${processId}:1`,
            availabilityZone: "zone-1",
            state: VmState.Live,
        }));
    }

    override list(): Promise<Result<VmListing, Failure>> {
        const { entries } = this;
        return Promise.resolve(
            entries
                ? ok({ asOf: this.clock.wallNow() - this.lag, entries })
                : err(notRun(FailureReason.StoreUnavailable, "the VM list is unavailable")),
        );
    }
}

export interface CellProcess {
    readonly identity: ProcessIdentity;
    readonly network: DialingPeerNetwork;
    readonly membership: RunningMembership;
    readonly clock: PausableClock;
    readonly eventLog: MemoryEventLog;
    /** Shuts down in an orderly way, with a leave message to the others. */
    leave(): void;
    /** Returns the state of another process as seen by this one. */
    stateOf(processId: string): MemberState | undefined;
}

/** Creates a cell of processes that are connected in memory. By default, each knows only the address of `p1`. */
export function createFakeCell() {
    const clock = new FakeClock();
    const networks = createFakePeerNetworks(clock);
    const vmList = new FakeVmList(clock);

    const start = (identity: ProcessIdentity, overrides: Partial<MembershipOptions> = {}): CellProcess => {
        const stop = new AbortController();
        const ownClock = new PausableClock(clock);
        const eventLog = new MemoryEventLog();
        const network = networks.join(identity);
        const membership = createMembership({
            network,
            vmList,
            seeds: ["p1:1"],
            clock: ownClock,
            random: createSeededRandom(identity.processId.length + identity.processId.charCodeAt(1)),
            eventLog,
            ...overrides,
        });
        void membership.run(stop.signal);
        return {
            identity,
            network,
            membership,
            clock: ownClock,
            eventLog,
            leave: () => stop.abort(),
            stateOf: processId => membership.others().find(member => member.identity.processId === processId)?.state,
        };
    };

    /** Starts `p1` to `p<count>` and waits until they have discovered each other. */
    const startMany = async (count: number): Promise<CellProcess[]> => {
        const names = Array.from({ length: count }, (...[, index]) => `p${index + 1}`);
        const processes = names.map(name => start(createFakeIdentity(name)));
        await clock.advance(5_000);
        return processes;
    };

    return { clock, networks, vmList, start, startMany };
}

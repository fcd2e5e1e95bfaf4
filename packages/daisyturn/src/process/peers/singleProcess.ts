import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import { type Membership, PeerNetwork, type ProcessIdentity } from "./peerNetwork.js";

/** Membership of a process without a cell: it is the only member, so it always has a majority. */
export const singleProcessMembership: Membership = {
    others: () => [],
    livePeers: () => [],
    hasEnded: () => false,
    hasMajorityContact: () => true,
    onChange: () => undefined,
};

/** Network of a process without a cell: every request fails. */
export class SingleProcessNetwork extends PeerNetwork {
    constructor(override readonly self: ProcessIdentity) {
        super();
    }

    override request(): Promise<Result<never, Failure>> {
        return Promise.resolve(err(notRun(FailureReason.PeerUnavailable, "there are no peers")));
    }

    override notify(): void {}

    override handle(): void {}
}

import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import { type Membership, PeerNetwork, type ProcessIdentity } from "./peerNetwork.js";

/** The members that a process without a cell sees: none but itself, so it is always with the majority. */
export const singleProcessMembership: Membership = {
    others: () => [],
    livePeers: () => [],
    hasEnded: () => false,
    hasMajorityContact: () => true,
    onChange: () => undefined,
};

/** The network of a process without a cell: nobody can be asked. */
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

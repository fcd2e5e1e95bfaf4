import { type Clock, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { Result } from "true-myth/result";
import { RejectionCause, type TransactionAnswer, TransactionOutcome } from "../../ports/tableService.js";
import type { ConfigurationManager } from "../configuration/index.js";
import { fencingRowKey, type FencingValue, parseFencingValue } from "../lease/index.js";
import type { Membership } from "../peers/index.js";
import { type StoreClient, StorePriority } from "../store/index.js";
import type { OrderRecords } from "./rows/createOrderRecords.js";
import {
    type ChangeGoal,
    type EngineOrders,
    isOrderOpen,
    isRequestOpen,
    type OrderRequest,
    OrderRequestState,
    type Vouch,
} from "./rows/orderRows.js";
import { evaluateChangeGoal } from "./steps/evaluateChangeGoal.js";

/** A change requested for an engine, with its requester. */
export interface NewOrderRequest extends ChangeGoal {
    /** Chosen by the requester; a repeated request with the same id returns the recorded one and changes nothing. */
    readonly requestId: string;
    readonly engineId: string;
    /** Absent for the role planner. */
    readonly partner?: string;
    readonly operator?: string;
}

/** Orders of one engine, as shown to operators. */
export interface EngineOrdersView extends EngineOrders {
    readonly request?: OrderRequest;
}

/** An operator's confirmation that an incarnation of a process has ended. */
export interface NewVouch {
    readonly incarnation: string;
    readonly partner: string;
    readonly operator: string;
    readonly note: string;
}

/** Holder and fencing number of the controller lease. */
export interface LeaseView extends FencingValue {
    readonly name: string;
}

/** Commands on orders that operators can run at any entry VM. */
export interface OrderCommands {
    /** Lists the engines for which the store has an order or a request. */
    listEngineOrders(): Promise<Result<readonly EngineOrdersView[], Failure>>;
    /** Records a request for the controller. Fails with Conflict if it is not allowed or another request is open. */
    requestOrder(newRequest: NewOrderRequest): Promise<Result<OrderRequest, Failure>>;
    /**
     * Records an operator's confirmation that an incarnation of a process has ended. Fails with NotFound unless an open
     * or doubtful order was sent by that incarnation, and with Conflict while it is alive.
     */
    vouch(newVouch: NewVouch): Promise<Result<Vouch, Failure>>;
    listVouches(): Promise<Result<readonly Vouch[], Failure>>;
    /** Fails with NotFound before the lease is first held. */
    showLease(): Promise<Result<LeaseView, Failure>>;
}

export interface OrderCommandsOptions {
    readonly records: OrderRecords;
    readonly leaseName: string;
    readonly storeClient: StoreClient;
    readonly membership: Membership;
    readonly configurationManager: ConfigurationManager;
    readonly clock: Clock;
    readonly callLimitMilliseconds?: number;
    /** How long a request may wait for the controller to start it. */
    readonly beginLimitMilliseconds?: number;
}

const defaultCallLimitMilliseconds = 5_000;
const defaultBeginLimitMilliseconds = 600_000;

/** Creates the commands of one process. */
export function createOrderCommands(options: OrderCommandsOptions): OrderCommands {
    const { records, clock, membership, configurationManager } = options;
    const callLimit = options.callLimitMilliseconds ?? defaultCallLimitMilliseconds;
    const beginLimit = options.beginLimitMilliseconds ?? defaultBeginLimitMilliseconds;

    const limit = () => clock.monotonicNow() + callLimit;

    const listEngineOrders = async (): Promise<Result<readonly EngineOrdersView[], Failure>> => {
        const overview = await records.readAll(limit());
        return overview.map(({ orders, requests }) => {
            const engineIds = new Set([...orders, ...requests].map(one => one.engineId));
            return [...engineIds].sort().map(engineId => ({
                engineId,
                ...orders.find(one => one.engineId === engineId),
                request: requests.find(one => one.engineId === engineId),
            }));
        });
    };

    const requestOrder = async (newRequest: NewOrderRequest): Promise<Result<OrderRequest, Failure>> => {
        const deadline = limit();
        const rows = await records.readEngine(newRequest.engineId, deadline);
        if (rows.isErr) {
            return Result.err(rows.error);
        }
        const { request: present } = rows.value;
        if (present?.requestId === newRequest.requestId) {
            return present.partner === newRequest.partner
                ? Result.ok(present)
                : Result.err(conflict("the request id is another partner's"));
        }
        if (isRequestOpen(present)) {
            return Result.err(conflict(`${describeOwner(present)} has an order for ${newRequest.engineId} under way`));
        }
        const refusalReason = evaluateChangeGoal(newRequest, configurationManager.current());
        if (refusalReason !== undefined) {
            return Result.err(conflict(refusalReason));
        }
        const request = createRequest(newRequest);
        const answer = await records.writeRequest(request, rows.value, deadline);
        return toResult(answer, request, `another request for ${newRequest.engineId} came first`);
    };

    const createRequest = (newRequest: NewOrderRequest): OrderRequest => {
        const now = clock.wallNow();
        return { ...newRequest, state: OrderRequestState.Requested, requestedAt: now, deadline: now + beginLimit };
    };

    const vouch = async (newVouch: NewVouch): Promise<Result<Vouch, Failure>> => {
        const deadline = limit();
        const overview = await records.readAll(deadline);
        if (overview.isErr) {
            return Result.err(overview.error);
        }
        const hasUnsettledOrder = overview.value.orders.some(orders =>
            hasUnsettledOrderFrom(orders, newVouch.incarnation)
        );
        if (!hasUnsettledOrder) {
            const message = `no open order was sent by the run ${newVouch.incarnation}`;
            return Result.err(notRun(FailureReason.NotFound, message));
        }
        if (membership.livePeers().some(peer => peer.incarnation === newVouch.incarnation)) {
            return Result.err(conflict(`the run ${newVouch.incarnation} is alive: it was heard from just now`));
        }
        const recorded: Vouch = { ...newVouch, vouchedAt: clock.wallNow() };
        return toResult(await records.writeVouch(recorded, deadline), recorded, "the vouch was rejected");
    };

    const showLease = async (): Promise<Result<LeaseView, Failure>> => {
        const key = fencingRowKey(options.leaseName);
        const answer = await options.storeClient.read([key], StorePriority.Other, limit());
        return answer.andThen(rows => {
            const value = rows[0] && parseFencingValue(rows[0].value);
            return value
                ? Result.ok<LeaseView, Failure>({ name: options.leaseName, ...value })
                : Result.err<LeaseView, Failure>(notRun(FailureReason.NotFound, "nobody has held the lease yet"));
        });
    };

    const listVouches = async () => (await records.readAll(limit())).map(overview => overview.vouches);

    return { listEngineOrders, requestOrder, vouch, listVouches, showLease };
}

function hasUnsettledOrderFrom(orders: EngineOrders, incarnation: string): boolean {
    const open = [isOrderOpen(orders.last) ? orders.last : undefined, orders.doubtful];
    return open.some(record => record?.sender.incarnation === incarnation);
}

function describeOwner(request: OrderRequest): string {
    return request.partner ?? "the role planner";
}

function conflict(message: string): Failure {
    return notRun(FailureReason.Conflict, message);
}

function toResult<T>(answer: TransactionAnswer, value: T, rejection: string): Result<T, Failure> {
    if (answer.outcome === TransactionOutcome.Committed) {
        return Result.ok(value);
    }
    if (answer.outcome === TransactionOutcome.Unknown) {
        return Result.err(
            mayHaveRun(FailureReason.OutcomeUnknown, "the store did not tell; ask again with the same id"),
        );
    }
    return answer.cause === RejectionCause.ConditionFailed
        ? Result.err(conflict(rejection))
        : Result.err(notRun(FailureReason.StoreUnavailable, "the table service takes no writes now"));
}

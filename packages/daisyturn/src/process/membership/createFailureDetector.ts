import type { Clock, JsonObject, Random } from "daisyturn-utils";
import { MemberState, PeerMethod, type PeerNetwork } from "../peers/index.js";
import type { MemberRecord, MemberTable } from "./createMemberTable.js";
import { suspicionAnswerSchema, suspicionQuerySchema } from "./heartbeatMessage.js";
import type { MembershipTiming } from "./membershipTiming.js";

export interface FailureDetectorOptions {
    readonly network: PeerNetwork;
    readonly table: MemberTable;
    readonly clock: Clock;
    readonly random: Random;
    readonly timing: MembershipTiming;
}

/** Determines the state of silent members, after querying other members. */
export interface FailureDetector {
    /** Updates the state of one member; takes at most one heartbeat interval. */
    evaluate(record: MemberRecord): Promise<void>;
}

const peersQueriedAboutSuspect = 3;
const peersQueriedAboutDead = 1;

export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
    const { network, table, clock, random, timing } = options;

    const isSilent = (record: MemberRecord, limit: number) =>
        record.endedAt === undefined && clock.monotonicNow() - record.silenceStartedAt > limit;

    const evaluate = async (record: MemberRecord) => {
        if (!isSilent(record, timing.suspectLimit)) {
            return;
        }
        if (record.state === MemberState.Alive) {
            table.setState(record, MemberState.Suspect);
        }
        await queryOthers(record);
        if (isConfirmedAlive(record)) {
            if (record.state === MemberState.Dead && isSilent(record, timing.suspectLimit)) {
                table.setState(record, MemberState.Suspect);
            }
        }
        else if (isSilent(record, timing.deadLimit)) {
            table.setState(record, MemberState.Dead);
        }
    };

    const isConfirmedAlive = (record: MemberRecord) =>
        record.confirmedAliveAt !== undefined
        && clock.monotonicNow() - record.confirmedAliveAt < timing.confirmationValidity;

    const queryOthers = async (record: MemberRecord) => {
        const count = record.state === MemberState.Dead ? peersQueriedAboutDead : peersQueriedAboutSuspect;
        await Promise.all(chooseMembersToQuery(record, count).map(other => queryOne(other, record)));
    };

    const chooseMembersToQuery = (record: MemberRecord, count: number): readonly MemberRecord[] => {
        const candidates = table.present().filter(other => other !== record && other.state === MemberState.Alive);
        const start = random.integerBelow(Math.max(1, candidates.length));
        return [...candidates.slice(start), ...candidates.slice(0, start)].slice(0, count);
    };

    const queryOne = async (other: MemberRecord, record: MemberRecord) => {
        const { processId, incarnation } = record.identity;
        const result = await network.request(
            other.identity.processId,
            PeerMethod.ConfirmSuspicion,
            { processId, incarnation },
            clock.monotonicNow() + timing.heartbeatInterval,
        );
        const answer = suspicionAnswerSchema.safeParse(result.unwrapOr({}));
        if ((answer.data?.heardMillisecondsAgo ?? timing.suspectLimit) < timing.suspectLimit) {
            record.confirmedAliveAt = clock.monotonicNow();
        }
    };

    const answerQuery = (parameters: JsonObject): JsonObject => {
        const query = suspicionQuerySchema.safeParse(parameters).data;
        const record = query && table.find(query.processId);
        if (record?.lastContactAt === undefined || record.identity.incarnation !== query?.incarnation) {
            return {};
        }
        return { heardMillisecondsAgo: clock.monotonicNow() - record.lastContactAt };
    };
    network.handle(PeerMethod.ConfirmSuspicion, (...[, parameters]) => answerQuery(parameters));

    return { evaluate };
}

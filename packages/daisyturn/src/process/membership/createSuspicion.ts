import type { Clock, JsonObject, Random } from "daisyturn-utils";
import { MemberState, PeerMethod, type PeerNetwork } from "../peers/index.js";
import type { MemberRecord, MemberTable } from "./createMemberTable.js";
import { suspicionAnswerSchema, suspicionQuestionSchema } from "./heartbeatMessage.js";
import type { MembershipTiming } from "./membershipTiming.js";

export interface SuspicionOptions {
    readonly network: PeerNetwork;
    readonly table: MemberTable;
    readonly clock: Clock;
    readonly random: Random;
    readonly timing: MembershipTiming;
}

/** Judges silent members, after asking others. */
export interface Suspicion {
    /** Judges one member; takes at most one heartbeat interval. */
    examine(record: MemberRecord): Promise<void>;
}

const askedAboutSuspect = 3;
const askedAboutDead = 1;

export function createSuspicion(options: SuspicionOptions): Suspicion {
    const { network, table, clock, random, timing } = options;

    const isSilent = (record: MemberRecord, limit: number) =>
        record.endedAt === undefined && clock.monotonicNow() - record.silentSince > limit;

    const examine = async (record: MemberRecord) => {
        if (!isSilent(record, timing.suspectLimit)) {
            return;
        }
        if (record.state === MemberState.Alive) {
            table.setState(record, MemberState.Suspect);
        }
        await askOthers(record);
        if (isVouchedFor(record)) {
            if (record.state === MemberState.Dead && isSilent(record, timing.suspectLimit)) {
                table.setState(record, MemberState.Suspect);
            }
        }
        else if (isSilent(record, timing.deadLimit)) {
            table.setState(record, MemberState.Dead);
        }
    };

    const isVouchedFor = (record: MemberRecord) =>
        record.vouchedAt !== undefined && clock.monotonicNow() - record.vouchedAt < timing.vouchLimit;

    const askOthers = async (record: MemberRecord) => {
        const count = record.state === MemberState.Dead ? askedAboutDead : askedAboutSuspect;
        await Promise.all(chooseOthers(record, count).map(other => askOne(other, record)));
    };

    const chooseOthers = (record: MemberRecord, count: number): readonly MemberRecord[] => {
        const candidates = table.present().filter(other => other !== record && other.state === MemberState.Alive);
        const start = random.integerBelow(Math.max(1, candidates.length));
        return [...candidates.slice(start), ...candidates.slice(0, start)].slice(0, count);
    };

    const askOne = async (other: MemberRecord, record: MemberRecord) => {
        const { processId, incarnation } = record.identity;
        const result = await network.request(
            other.identity.processId,
            PeerMethod.ConfirmSuspicion,
            { processId, incarnation },
            clock.monotonicNow() + timing.heartbeatInterval,
        );
        const answer = suspicionAnswerSchema.safeParse(result.unwrapOr({}));
        if ((answer.data?.heardMillisecondsAgo ?? timing.suspectLimit) < timing.suspectLimit) {
            record.vouchedAt = clock.monotonicNow();
        }
    };

    const answerQuestion = (parameters: JsonObject): JsonObject => {
        const question = suspicionQuestionSchema.safeParse(parameters).data;
        const record = question && table.find(question.processId);
        if (record?.lastHeardAt === undefined || record.identity.incarnation !== question?.incarnation) {
            return {};
        }
        return { heardMillisecondsAgo: clock.monotonicNow() - record.lastHeardAt };
    };
    network.handle(PeerMethod.ConfirmSuspicion, (...[, parameters]) => answerQuestion(parameters));

    return { examine };
}

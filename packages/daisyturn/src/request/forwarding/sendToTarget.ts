import {
    type Clock,
    EventKind,
    ExecutionVerdict,
    type Failure,
    FailureReason,
    mayHaveRun,
    notRun,
} from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { ConnectionPolicy } from "../../connection/target/createTargetConnections.js";
import type { ReplyHead, SendTerms } from "../../ports/forwardedCall.js";
import type { ListedTarget } from "../../ports/listedTarget.js";
import { type CallCost, TargetEvidence, type TargetHealth } from "../../process/forwarding/index.js";
import { type CallRun } from "./callRun.js";
import type { ForwardingParts } from "./forwardingParts.js";

/** One send of a call to one target. */
export interface CallSend {
    readonly target: ListedTarget;
    readonly terms: Omit<SendTerms, "targetName" | "remainingMilliseconds">;
    /** Whether the send may be given up when the target falls silent, since it can be repeated elsewhere. */
    readonly isRepeatable: boolean;
    readonly cost: CallCost;
    /** Takes pieces of a successful answer as they arrive; absent: they are collected. */
    readonly onPiece?: (head: ReplyHead, piece: Buffer) => void;
    /** Called with the first bytes of the answer's body, or its end: the expensive work is done. */
    readonly onFirstByte?: () => void;
}

/** A whole answer of a target. */
export interface TargetReply {
    readonly head: ReplyHead;
    /** Empty where the pieces were taken as they arrived. */
    readonly body: Buffer;
}

const firstErrorStatus = 500;
const firstFailureStatus = 300;
/** Longest answer that is collected before it is passed on. */
const maxCollectedBytes = 16 * 1024 * 1024;
/** How long a stream may pause before its target is looked at, and then from time to time. */
const silenceCheckMilliseconds = 350;

/** Sends a call, keeps load and health of the target up to date, and gives each failure its verdict. */
export async function sendToTarget(
    parts: ForwardingParts,
    run: CallRun,
    send: CallSend,
): Promise<Result<TargetReply, Failure>> {
    const { target } = send;
    const { loads, health, clock, protocol } = parts;
    if (run.signal.aborted) {
        return err(run.signal.reason as Failure);
    }
    // Asked last: the list may have changed since the target was chosen.
    if (!parts.targets.isOpen(target.targetId) || parts.closed.isClosed(target.targetId)) {
        return err(notRun(FailureReason.NoTarget, "The chosen target has just stopped taking new work."));
    }
    const reply: { head?: ReplyHead; bytes: number; } = { bytes: 0 };
    const pieces: Buffer[] = [];
    const work = loads.begin(target.targetId, send.cost);
    const wait = health.beginWait(target.targetId, run.service.engine !== undefined);
    const watch = watchSilence(clock, health, run.signal, target.targetId, send.isRepeatable);

    run.trace.record(EventKind.RequestDispatched, {
        target: target.targetId,
        address: target.address,
        part: describePart(send),
        remaining: Math.round(run.deadline - clock.monotonicNow()),
        calls: Math.round(loads.calls(target.targetId)),
    });
    const noteFirstByte = () => {
        work.finishExpensiveWork();
        wait.end();
        send.onFirstByte?.();
    };
    const result = await parts.connections.send(
        target.address,
        send.isRepeatable ? ConnectionPolicy.Reuse : ConnectionPolicy.RecentlyVerified,
        {
            head: protocol.encodeCall(run.call, {
                ...send.terms,
                targetName: target.name,
                remainingMilliseconds: run.deadline - clock.monotonicNow(),
            }),
            body: run.call.body.length > 0 ? run.call.body : undefined,
            signal: watch.signal,
            sink: {
                onHead: (status, fields) => {
                    const head = protocol.readHead(status, fields);
                    health.recordBytesReceived(target.targetId);
                    if (head.load) {
                        loads.recordReport(target.targetId, head.load);
                    }
                    reply.head = head;
                    return checkOrigin(run, send, head);
                },
                onChunk: chunk => {
                    health.recordBytesReceived(target.targetId);
                    watch.noteHeard();
                    reply.bytes += chunk.length;
                    if (reply.bytes === chunk.length) {
                        noteFirstByte();
                    }
                    if (send.onPiece && reply.head && reply.head.status < firstFailureStatus) {
                        send.onPiece(reply.head, chunk);
                    }
                    else if (reply.bytes <= maxCollectedBytes) {
                        pieces.push(chunk);
                    }
                },
            },
        },
    );
    watch.end();
    recordSend(parts, run, send, reply.head, result);
    work.end();
    wait.end();
    const judged = judge(result, reply.head, Buffer.concat(pieces), reply.bytes > maxCollectedBytes && !send.onPiece);
    noteEvidence(parts, run, target.targetId, judged, watch.isSilent());
    return judged;
}

/** An answer counts only if it names the call and, where it is a success for the caller, is signed by its target. */
function checkOrigin(run: CallRun, send: CallSend, head: ReplyHead): Failure | undefined {
    if (head.callId !== run.call.callId) {
        return mayHaveRun(FailureReason.TargetFailed, "The answer belongs to another call.");
    }
    const isForCaller = !send.terms.prefillOnly && head.status < firstFailureStatus;
    return isForCaller && !head.isStamped
        ? mayHaveRun(FailureReason.TargetFailed, "The answer is not signed by its target.")
        : undefined;
}

function describePart({ terms }: CallSend): string {
    return terms.prefillOnly ? "prefill" : terms.kvSource ? "decode" : "whole";
}

function recordSend(
    parts: ForwardingParts,
    run: CallRun,
    { target }: CallSend,
    head: ReplyHead | undefined,
    result: Result<void, Failure>,
): void {
    parts.metrics.recordSend(result.isErr ? result.error.reason : head?.isNotRun ? "not_run" : "answered");
    run.trace.record(EventKind.TargetAnswered, {
        target: target.targetId,
        status: head?.status,
        isNotRun: head?.isNotRun,
        load: head?.load && `${head.load.running}+${head.load.waiting}/${head.load.slots}`,
        reason: result.isErr ? result.error.message : undefined,
    });
}

function judge(
    result: Result<void, Failure>,
    head: ReplyHead | undefined,
    body: Buffer,
    isTooLong: boolean,
): Result<TargetReply, Failure> {
    if (result.isErr) {
        return err(result.error);
    }
    if (!head) {
        return err(mayHaveRun(FailureReason.TargetFailed, "The target ended without an answer."));
    }
    if (head.isNotRun) {
        return err(notRun(FailureReason.TargetRefused, `The target refused the call with status ${head.status}.`));
    }
    if (isTooLong) {
        return err(mayHaveRun(FailureReason.TargetFailed, "The answer is longer than can be held."));
    }
    return ok({ head, body });
}

function noteEvidence(
    parts: ForwardingParts,
    run: CallRun,
    targetId: string,
    judged: Result<TargetReply, Failure>,
    isSilent: boolean,
): void {
    if (isSilent) {
        parts.health.record(targetId, TargetEvidence.Silent);
    }
    else if (judged.isOk) {
        const isError = judged.value.head.status >= firstErrorStatus;
        parts.health.record(targetId, isError ? TargetEvidence.AnsweredError : TargetEvidence.Answered);
    }
    else if (!run.signal.aborted && judged.error.reason === FailureReason.TargetFailed) {
        const isSent = judged.error.verdict !== ExecutionVerdict.NotRun;
        parts.health.record(targetId, isSent ? TargetEvidence.Broken : TargetEvidence.Unreachable);
    }
}

interface SilenceWatch {
    readonly signal: AbortSignal;
    noteHeard(): void;
    /** Whether the send was given up since its target had fallen silent. */
    isSilent(): boolean;
    end(): void;
}

/** Ends a send together with its call, or once its target has fallen silent, if it may be repeated. */
function watchSilence(
    clock: Clock,
    health: TargetHealth,
    callSignal: AbortSignal,
    targetId: string,
    isRepeatable: boolean,
): SilenceWatch {
    const controller = new AbortController();
    const follow = () => controller.abort(callSignal.reason);
    let isSilent = false;
    let heardAt = clock.monotonicNow();
    const check = () => {
        health.checkSilence(targetId);
        if (health.isSilent(targetId) && clock.monotonicNow() - heardAt > silenceCheckMilliseconds) {
            isSilent = true;
            controller.abort(mayHaveRun(FailureReason.TargetFailed, "The target has fallen silent."));
        }
    };
    const timer = isRepeatable ? setInterval(check, silenceCheckMilliseconds) : undefined;
    callSignal.addEventListener("abort", follow, { once: true });
    return {
        signal: controller.signal,
        noteHeard: () => {
            heardAt = clock.monotonicNow();
        },
        isSilent: () => isSilent,
        end: () => {
            clearInterval(timer);
            callSignal.removeEventListener("abort", follow);
        },
    };
}

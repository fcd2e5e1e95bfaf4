import type { Random } from "daisyturn-utils";
import { expectedAnswer } from "../engine/expectedAnswer.js";
import { ModelName, PartnerName, ServiceName } from "../fleet/partnerConfiguration.js";
import { type CallerClient, CallOutcome, type CallRecord } from "./callerClient.js";

export enum RequestKind {
    Dossier = "dossier",
    QuickQuestion = "quick question",
    QuoteConfirmation = "quote confirmation",
    SeatPlan = "seat plan",
    Ticket = "ticket",
}

/** A request of the mixed load and its result. */
export interface MixedRecord {
    readonly kind: RequestKind;
    readonly partner: PartnerName;
    readonly record: CallRecord;
    /**
     * Whether the answer equals the engine's expected answer, byte for byte. Undefined for plain services and for
     * requests that were not answered.
     */
    readonly answerMatches?: boolean;
    /** Body of a call to a plain service, unique within the load. */
    readonly callBody?: string;
}

export type CallersByPartner = Readonly<Record<PartnerName, CallerClient>>;

interface CompletionKind {
    readonly kind: RequestKind;
    readonly partner: PartnerName;
    readonly service: ServiceName;
    readonly model: ModelName;
    readonly promptCharacters: number;
    readonly answerTokens: number;
    /** Length of the prompt prefix that all requests of this kind share. */
    readonly sharedCharacters: number;
}

const completionKinds: readonly CompletionKind[] = [
    {
        kind: RequestKind.Dossier,
        partner: PartnerName.Nyamata,
        service: ServiceName.Valuation,
        model: ModelName.Large,
        promptCharacters: 12_000,
        answerTokens: 24,
        sharedCharacters: 6_000,
    },
    {
        kind: RequestKind.QuickQuestion,
        partner: PartnerName.Nyamata,
        service: ServiceName.QuickQuestion,
        model: ModelName.Small,
        promptCharacters: 300,
        answerTokens: 40,
        sharedCharacters: 100,
    },
    {
        kind: RequestKind.SeatPlan,
        partner: PartnerName.Jizdenka,
        service: ServiceName.SeatPlan,
        model: ModelName.Large,
        promptCharacters: 16_000,
        answerTokens: 120,
        sharedCharacters: 14_000,
    },
];

const plainShare = 0.35;
const letters = "abcdefghijklmnoprstuvz ";

/** Sends one randomly chosen request of the mix and compares its answer with the expected one. */
export async function sendMixedRequest(
    callers: CallersByPartner,
    random: Random,
    number: number,
): Promise<MixedRecord> {
    if (random.fraction() < plainShare) {
        return sendPlainCall(callers, random, number);
    }
    const chosen = completionKinds[random.integerBelow(completionKinds.length)] ?? completionKinds[0];
    if (!chosen) {
        throw new Error("the list of completion kinds is empty");
    }
    return sendCompletion(callers, chosen, random, number);
}

async function sendCompletion(
    callers: CallersByPartner,
    kind: CompletionKind,
    random: Random,
    number: number,
): Promise<MixedRecord> {
    const prompt = createPrompt(kind, random, number);
    const record = await callers[kind.partner].complete({
        service: kind.service,
        prompt,
        maxTokens: kind.answerTokens,
    });
    const expected = expectedAnswer({ model: kind.model, prompt }, kind.answerTokens);
    const answerMatches = record.outcome === CallOutcome.Answered ? record.text === expected : undefined;
    return { kind: kind.kind, partner: kind.partner, record, answerMatches };
}

async function sendPlainCall(callers: CallersByPartner, random: Random, number: number): Promise<MixedRecord> {
    const isQuote = random.fraction() < 0.5;
    const kind = isQuote ? RequestKind.QuoteConfirmation : RequestKind.Ticket;
    const partner = isQuote ? PartnerName.Nyamata : PartnerName.Jizdenka;
    const path = isQuote ? `/services/${ServiceName.Quotes}/confirm` : `/services/${ServiceName.Tickets}/issue`;
    const callBody = JSON.stringify({ kind, number });
    const record = await callers[partner].invoke({
        method: "POST",
        path,
        idempotencyKey: `${kind}-${number}`.replaceAll(" ", "-"),
        body: callBody,
    });
    return { kind, partner, record, callBody };
}

/** Creates a prompt with a prefix that all prompts of the kind share, such as a guide or a timetable. */
function createPrompt(kind: CompletionKind, random: Random, number: number): string {
    const shared = `${kind.kind} guide `.repeat(Math.ceil(kind.sharedCharacters / kind.kind.length)).slice(
        0,
        kind.sharedCharacters,
    );
    let own = `request ${number} `;
    while (shared.length + own.length < kind.promptCharacters) {
        own += letters[random.integerBelow(letters.length)];
    }
    return shared + own;
}

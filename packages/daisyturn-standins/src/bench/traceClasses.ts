import { ModelName, PartnerName, ServiceName } from "../fleet/partnerConfiguration.js";
import { type TraceClass, TraceKind } from "./tracedRequest.js";

/** A long prompt that starts with a guide common to all requests, and a short answer. */
const dossier: TraceClass = {
    kind: TraceKind.Dossier,
    partner: PartnerName.Nyamata,
    service: ServiceName.Valuation,
    model: ModelName.Large,
    promptTokens: 3_000,
    sharedTokens: 1_000,
    groups: 1,
    outputTokens: 40,
};

/** A short question with a short answer. */
const quickQuestion: TraceClass = {
    kind: TraceKind.QuickQuestion,
    partner: PartnerName.Nyamata,
    service: ServiceName.QuickQuestion,
    model: ModelName.Small,
    promptTokens: 100,
    sharedTokens: 0,
    groups: 1,
    outputTokens: 120,
};

/** A long prompt that starts with one society's timetable, fare rules and diagrams, and a seat plan as the answer. */
const seatPlan: TraceClass = {
    kind: TraceKind.SeatPlan,
    partner: PartnerName.Jizdenka,
    service: ServiceName.SeatPlan,
    model: ModelName.Large,
    promptTokens: 4_000,
    sharedTokens: 3_200,
    groups: 12,
    outputTokens: 200,
};

/** A short question, and a reply that is longer than the question. */
const quickReply: TraceClass = {
    kind: TraceKind.QuickReply,
    partner: PartnerName.Jizdenka,
    service: ServiceName.QuickReply,
    model: ModelName.Small,
    promptTokens: 80,
    sharedTokens: 0,
    groups: 1,
    outputTokens: 220,
};

/** Every class, by kind. */
export const traceClasses: Readonly<Record<TraceKind, TraceClass>> = {
    [TraceKind.Dossier]: dossier,
    [TraceKind.QuickQuestion]: quickQuestion,
    [TraceKind.SeatPlan]: seatPlan,
    [TraceKind.QuickReply]: quickReply,
};

import type { ModelName, PartnerName, ServiceName } from "../fleet/partnerConfiguration.js";

/** Classes of model requests in a trace. */
export enum TraceKind {
    Dossier = "dossier",
    QuickQuestion = "quick_question",
    SeatPlan = "seat_plan",
    QuickReply = "quick_reply",
}

/** Properties shared by all requests of one class. Lengths are in tokens. */
export interface TraceClass {
    readonly kind: TraceKind;
    readonly partner: PartnerName;
    readonly service: ServiceName;
    readonly model: ModelName;
    /** Tokens of the prompt, including the shared prefix. */
    readonly promptTokens: number;
    /** Tokens of the prefix that requests of one group share. */
    readonly sharedTokens: number;
    /** Number of groups, each with its own shared prefix, such as the timetable of one society. */
    readonly groups: number;
    readonly outputTokens: number;
}

/** One request of a trace. */
export interface TracedRequest {
    readonly traceClass: TraceClass;
    /** Milliseconds of simulated time after the start. */
    readonly arrivesAt: number;
    readonly group: number;
    readonly number: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

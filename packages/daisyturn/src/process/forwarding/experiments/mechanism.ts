/**
 * A mechanism of the decisions on forwarded calls that an experiment can take out by itself, to measure what it is worth
 * under a load. In service, none is taken out.
 */
export enum Mechanism {
    /** Prompts that begin alike look for the same engine first. */
    Homes = "homes",
    /** A target of the own availability zone is preferred. */
    ZonePreference = "zone-preference",
    /** What engines are believed to keep shortens the reading that is forecast. */
    CacheBeliefs = "cache-beliefs",
    /** An engine that lacks the beginning of a prompt fetches its KV cache from one that keeps it. */
    KvFetch = "kv-fetch",
    /** How slow each engine has shown itself to be scales its forecasts. */
    Pace = "pace",
    /** How fast engines read prompts is learned, in place of the rates of one model. */
    PrefillRates = "prefill-rates",
    /** What reading would do to the pauses of answers decides where prompts are read and answers decoded. */
    PauseForecast = "pause-forecast",
    /** Engines that decode read prompts too, while others only read. */
    ReadingAtDecoders = "reading-at-decoders",
    /** A call that will be late lets all others go first. */
    Deferral = "deferral",
    /** A call whose answer would begin after its caller has left is refused at once. */
    RefusalByForecast = "refusal-by-forecast",
    /** Long prompts whose like were served too seldom keep their place before those that will be late. */
    SizeFairness = "size-fairness",
    /** Processes tell each other what they have under way. */
    PeerMessages = "peer-messages",
    /** Targets that fail are left alone and tried again by few calls. */
    Trust = "trust",
    /** Engines change between reading and decoding with the demand. */
    StageChanges = "stage-changes",
    /** A process that is overloaded refuses some calls at once. */
    OverloadGuard = "overload-guard",
}

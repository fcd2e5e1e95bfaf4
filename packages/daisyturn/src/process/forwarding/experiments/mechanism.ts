/**
 * Mechanisms of forwarding that an experiment can switch off one by one to measure their effect under load. In
 * production, none is switched off.
 */
export enum Mechanism {
    /** Prompts with the same prefix have the same preferred engine. */
    Homes = "homes",
    /** A target in the process's own availability zone is preferred. */
    ZonePreference = "zone-preference",
    /** The estimated contents of engine caches shorten the forecast prefill. */
    CacheBeliefs = "cache-beliefs",
    /** An engine that has not cached the prefix of a prompt fetches its KV cache from an engine that has. */
    KvFetch = "kv-fetch",
    /** The forecasts for an engine are scaled by its estimated slowdown. */
    Pace = "pace",
    /** Prefill rates are learned from the engines instead of being those of one model. */
    PrefillRates = "prefill-rates",
    /** The placement of prefill and decode takes into account how prefill lengthens the pauses of answers. */
    PauseForecast = "pause-forecast",
    /** Decode engines also prefill prompts, beside the engines that only prefill. */
    ReadingAtDecoders = "reading-at-decoders",
    /** A call that will be late yields to all others. */
    Deferral = "deferral",
    /** A call whose answer is forecast to begin after its caller has left is refused at once. */
    RefusalByForecast = "refusal-by-forecast",
    /** An underserved long prompt is queued with the calls that can be on time, before those that will be late. */
    SizeFairness = "size-fairness",
    /** Processes send each other their work in progress. */
    PeerMessages = "peer-messages",
    /** Failing targets receive no work for a while and then a few trial calls. */
    Trust = "trust",
    /** Engines change between prefill and decode with the demand. */
    StageChanges = "stage-changes",
    /** An overloaded process refuses some calls at once. */
    OverloadGuard = "overload-guard",
}

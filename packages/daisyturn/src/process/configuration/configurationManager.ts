import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { AcceptedChange, ChangeAnswer, ChangeRequest } from "../../version/configurationChange.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";

/** Manages the configuration that is active in this process and publishes changes of it. */
export interface ConfigurationManager {
    /** The active version. Its generation never decreases. Before the first adoption: generation 0, no items. */
    current(): ConfigurationVersion;
    /** Adopts the newest version of the store or the peers. Resolves once one is adopted or `signal` is aborted. */
    adopt(signal: AbortSignal): Promise<void>;
    /** Runs anti-entropy until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /**
     * Validates and commits a change, and pushes it to the other processes. Fails with Conflict if the fleet is not at
     * the expected generation, or if the change conflicts with an item of another partner.
     */
    publish(request: ChangeRequest): Promise<Result<ChangeAnswer, Failure>>;
    /** The last `limit` accepted changes, newest first. */
    history(limit: number): Promise<Result<readonly AcceptedChange[], Failure>>;
    /** Adds a listener that is called each time a version becomes active. */
    onVersion(listener: (version: ConfigurationVersion) => void): void;
}

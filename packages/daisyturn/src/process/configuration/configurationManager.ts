import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { AcceptedChange, ChangeAnswer, ChangeRequest } from "../../version/configurationChange.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";

/** Holds the configuration in force in this process and takes changes. */
export interface ConfigurationManager {
    /** The version in force. Its generation never goes down. Before the first adoption: generation 0, no items. */
    current(): ConfigurationVersion;
    /** Adopts the newest version that the store or a peer has; resolves once one is adopted or `signal` is aborted. */
    adopt(signal: AbortSignal): Promise<void>;
    /** Runs anti-entropy until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Validates, commits and pushes a change. Conflict: expected generation does not hold, or another's item. */
    publish(request: ChangeRequest): Promise<Result<ChangeAnswer, Failure>>;
    /** Newest accepted changes first. */
    history(limit: number): Promise<Result<readonly AcceptedChange[], Failure>>;
    /** Called after each version that came into force. */
    onVersion(listener: (version: ConfigurationVersion) => void): void;
}

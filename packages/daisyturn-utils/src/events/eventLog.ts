/**
 * Kinds of events. Each log line has one, and the time line filters by kind.
 * Add a kind here instead of logging free text.
 */
export enum EventKind {
    ProcessStarted = "process_started",
    ProcessReady = "process_ready",
    ProcessDraining = "process_draining",
    ProcessStopped = "process_stopped",
    /** A phase of the process begins. */
    PhaseEntered = "phase_entered",
    SignalReceived = "signal_received",
    /** Last line of a process; `code` is its exit code. */
    ProcessEnded = "process_ended",
    /** A listener can't be opened, and is tried again. */
    AddressAwaited = "address_awaited",
    /** It is open. */
    AddressOpened = "address_opened",
    OutOfService = "out_of_service",
    /** The load exceeds the process's processor time, so it refuses some of the calls. */
    Overloaded = "overloaded",
    BackInService = "back_in_service",
    RequestAccepted = "request_accepted",
    RequestRefused = "request_refused",
    RequestPlaced = "request_placed",
    RequestDispatched = "request_dispatched",
    RequestFirstToken = "request_first_token",
    RequestRetried = "request_retried",
    /** The retry budget had no retry for a call that was worth one. */
    RetryDenied = "retry_denied",
    /** A caller resumes a stream, at the software version that began it. */
    RequestResumed = "request_resumed",
    RequestAnswered = "request_answered",
    RequestFailed = "request_failed",
    RequestCancelled = "request_cancelled",
    ClaimTaken = "claim_taken",
    ClaimRecorded = "claim_recorded",
    ClaimReplayed = "claim_replayed",
    ClaimSettled = "claim_settled",
    /** Number of prompts of each size served since the previous event of this kind. */
    PromptsBySize = "prompts_by_size",
    /** Arrivals at a service beyond the first of each call, and retries, since the previous event of this kind. */
    ArrivalsRepeated = "arrivals_repeated",
    ConfigurationAccepted = "configuration_accepted",
    ConfigurationRejected = "configuration_rejected",
    ConfigurationInForce = "configuration_in_force",
    LeaseAcquired = "lease_acquired",
    LeaseLost = "lease_lost",
    LeaseReleased = "lease_released",
    OrderPlanned = "order_planned",
    OrderSent = "order_sent",
    OrderConfirmed = "order_confirmed",
    OrderAbandoned = "order_abandoned",
    OrderWithheld = "order_withheld",
    /** Another process became the coordinator of this process's group. */
    CoordinatorChosen = "coordinator_chosen",
    PeerAlive = "peer_alive",
    PeerSuspect = "peer_suspect",
    PeerDead = "peer_dead",
    PeerLeft = "peer_left",
    /** Other processes falsely suspected this one to be dead or ended, for instance while it was paused. */
    Misjudged = "misjudged",
    TargetListed = "target_listed",
    TargetGone = "target_gone",
    TargetAnswered = "target_answered",
    /** A send was given up because its caller has left, its deadline has passed or its target is silent. */
    SendAbandoned = "send_abandoned",
    /** The listener for callers answered or closed a connection itself, since no request could be read from it in time. */
    RequestUnreadable = "request_unreadable",
    /** A request became complete on a connection that serves no more, mostly after {@link EventKind.RequestUnreadable}. */
    RequestAfterRefusal = "request_after_refusal",
    /** Another party sends more than this process reads of one connection; `limit` says of what. */
    ReadLimited = "read_limited",
    /** An answer was given up because of its length, or because the process had no memory for it until its deadline. */
    AnswerGivenUp = "answer_given_up",
    /** A target ended without notice while calls ran there. */
    TargetEnded = "target_ended",
    /** A request, or a part of prompts, is kept out of targets, because several of them ended while they ran it. */
    CallListed = "call_listed",
    /** It is no longer kept out, since it was answered or another one explains the ends. */
    CallUnlisted = "call_unlisted",
    /** New connections are limited, because this process has too many of them; the others are closed unread. */
    ConnectionsLimited = "connections_limited",
    /** A target names a limit of requests a second for all processes together, or another one than before. */
    TargetLimited = "target_limited",
    /** A target names no limit any more. */
    TargetUnlimited = "target_unlimited",
    /** A request waits at this process, because all targets of its service are full. */
    RequestQueued = "request_queued",
    /** A request found its target at the limit that it names, and takes another one. */
    TargetFull = "target_full",
    /** This process is the home of a quota of the fleet and grants its tokens. */
    QuotaHomeTaken = "quota_home_taken",
    /** It is no longer the home. */
    QuotaHomeLeft = "quota_home_left",
    /** A plain target works more slowly than before or than others of its service, or no longer does. */
    TargetSpeedChanged = "target_speed_changed",
    /** A target has turned a call of this process away and wants no other one for a time. */
    TargetResting = "target_resting",
    /** An answer of a target says that it leaves, which its entry in the store does not say yet. */
    TargetLeaving = "target_leaving",
    /** A row lists a target as open that is known to have left in this incarnation; it gets no work. */
    TargetKeptClosed = "target_kept_closed",
    /** A connection to a target broke, so that another incarnation may answer at its address until its row is read. */
    TargetUnconfirmed = "target_unconfirmed",
    TargetSuspected = "target_suspected",
    TargetTrusted = "target_trusted",
    TargetChecked = "target_checked",
    /** A target receives no new work because it is about to change its stage. */
    TargetClosed = "target_closed",
    TargetReopened = "target_reopened",
    /** Connections of this process to a target fail while a peer reaches it. Logged for the first lost link. */
    LinksLost = "links_lost",
    /** The last lost link works again. */
    LinksRestored = "links_restored",
    KvReleaseFailed = "kv_release_failed",
    EngineDegraded = "engine_degraded",
    EngineRecovered = "engine_recovered",
    EngineState = "engine_state",
    /** An engine is still listed but no longer responds to status reads. */
    EngineLost = "engine_lost",
    RolePlanned = "role_planned",
    /** An order for the number of engines of one kind in a zone, with its answer. */
    EnginesOrdered = "engines_ordered",
    /** A service has engines of which none decodes; `reason` says what the next order waits for. */
    StageMissing = "stage_missing",
    StageRestored = "stage_restored",
    /** This process makes no further call under its lease of the fleet's duties. */
    DutiesGivenUp = "duties_given_up",
    /** The platform refused a call because the fleet makes too many a second. */
    DutyThrottled = "duty_throttled",
    /** The report of one window of usage was sent; `answer` says what the platform answered. */
    UsageReported = "usage_reported",
    StoreUnavailable = "store_unavailable",
    StoreAvailable = "store_available",
    /** A table was re-read in full because the store was restored from an older snapshot. */
    StoreRolledBack = "store_rolled_back",
    StoreOutcomeSettled = "store_outcome_settled",
    /** The settings can't be read at the start; they are tried again for some seconds. */
    SettingsAwaited = "settings_awaited",
    SettingsReloaded = "settings_reloaded",
    /** An exception or a rejection that nothing caught. */
    UncaughtError = "uncaught_error",
    LogLinesDropped = "log_lines_dropped",
    Fault = "fault",
}

/** Fields of an event. The time line uses the named ones. Modules may add others. */
export interface EventFields {
    readonly request?: string;
    readonly engine?: string;
    readonly target?: string;
    readonly profile?: string;
    readonly partner?: string;
    readonly generation?: number;
    readonly fencing?: number;
    readonly order?: string;
    readonly peer?: string;
    readonly reason?: string;
    readonly verdict?: string;
    readonly [field: string]: string | number | boolean | undefined;
}

/** Records events, one key=value line each, with a timestamp of the process's hybrid logical clock. */
export abstract class EventLog {
    abstract record(kind: EventKind, fields?: EventFields): void;
}

/** An event stored in memory. */
export interface RecordedEvent {
    readonly kind: EventKind;
    readonly fields: EventFields;
}

/** Stores events in memory instead of writing them, for tests and for embedding without logs. */
export class MemoryEventLog extends EventLog {
    readonly events: RecordedEvent[] = [];

    override record(kind: EventKind, fields: EventFields = {}): void {
        this.events.push({ kind, fields });
    }

    /** Returns the events of one kind, in order. */
    of(kind: EventKind): readonly RecordedEvent[] {
        return this.events.filter(event => event.kind === kind);
    }
}

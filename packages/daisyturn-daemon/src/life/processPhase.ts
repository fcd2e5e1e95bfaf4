/** Phases of a process, in their order. docs/design/process-life.md says what each signal means in each of them. */
export enum ProcessPhase {
    /** The program is being loaded. */
    Loading = "loading",
    /** The settings file is being read. */
    ReadingSettings = "reading_settings",
    /** Listeners and background tasks are being started. */
    Starting = "starting",
    /** Callers are accepted. */
    Serving = "serving",
    /** Running calls are being finished. */
    Stopping = "stopping",
}

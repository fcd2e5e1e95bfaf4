// Configuration and worker entries like those of the site nyamata-valuations.

/** Routes of a plain service and of engines. `changes` replaces fields of a route, by its name. */
export function createConfiguration(version, changes = {}) {
    const route = (name, service, more) => ({
        name,
        host: "shop.example",
        pathPrefix: `/${name}/`,
        targetLatencyMs: 121,
        priority: 1,
        service,
        timeoutMs: 1_000,
        ...more,
        ...changes[name],
    });
    return {
        version,
        routes: [
            route("lookup", "desk", { kind: "idempotent", maxAttempts: 2 }),
            route("confirm", "desk", { kind: "non_idempotent", maxAttempts: 1 }),
            route("query", "models", {
                kind: "stream",
                timeoutMs: 3_000,
                targetLatencyMs: 500,
                maxAttempts: 2,
                sticky: true,
                resumable: true,
                targetGapMs: 150,
            }),
            route("dossier", "models", {
                kind: "stream",
                timeoutMs: 6_000,
                targetLatencyMs: 600,
                maxAttempts: 1,
                sticky: true,
                resumable: false,
                targetGapMs: 150,
            }),
        ],
        services: [
            { name: "desk", healthPath: "/health", maxConns: 110, protocol: "h1", tls: false },
            {
                name: "models",
                healthPath: "/health",
                maxConns: 210,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 24,
                    kvTokens: 385_388,
                    tokenKvBytes: 163_840,
                    linkMbps: 1_300_000,
                    stride: 9,
                    kvHoldS: 5,
                    roleSwitchS: 3,
                    models: [{ name: "m" }],
                },
            },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** Entry of a worker of the plain service. */
export const deskEntry = (address, zone, more = {}) => ({
    service: "desk",
    address,
    zone,
    version: "v1",
    slots: 6,
    state: "ready",
    coldLeftMs: 0,
    sequence: 0,
    ...more,
});

/** Entry of an engine. */
export const engineEntry = (address, zone, more = {}) => ({
    ...deskEntry(address, zone),
    service: "models",
    slots: 24,
    stage: "decode",
    models: [{ name: "m", version: 1, adapters: [] }],
    ...more,
});

/** Registers a worker and renews its entry at each heartbeat. Its counts start anew after a pause. */
export function beat(store, id, createEntry) {
    let sequence = 0;
    let timer;
    const write = () => store.put("servers", id, { ...createEntry(), sequence: sequence++ });
    const pause = () => {
        clearInterval(timer);
        sequence = 0;
    };
    const resume = () => {
        write();
        timer = setInterval(write, 1_200);
    };
    resume();
    return { pause, resume, stop: pause };
}

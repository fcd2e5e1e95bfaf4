// Replaces worker_threads in the bundle. pino only asks whether it runs in the main thread.
module.exports = { isMainThread: true };

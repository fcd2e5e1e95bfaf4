// Replaces thread-stream in the bundle. pino loads it, and worker threads with it, for transports, which the entry process
// does not use.
module.exports = class {
    constructor() {
        throw new Error("the bundle has no transports of pino");
    }
};

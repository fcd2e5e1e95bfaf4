// Replaces node:assert in the bundle, where undici checks its own state. The module is loaded when a check fails.
module.exports = function assert(value, ...message) {
    if (!value) {
        require("node:assert/strict").ok(value, ...message);
    }
};

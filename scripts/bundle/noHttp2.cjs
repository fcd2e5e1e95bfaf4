// Replaces node:http2 in the bundle. undici loads HTTP/2, and TLS with it, when it is imported; the entry process uses
// only HTTP/1.1 to the platform and the targets.
module.exports = { constants: {} };

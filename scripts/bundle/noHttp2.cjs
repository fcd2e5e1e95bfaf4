// undici loads HTTP/2, and TLS with it, at its start; the entry process speaks HTTP/1.1 to the platform and the targets.
module.exports = { constants: {} };

// Replaces the index of zod's locales in the bundle; its English messages are loaded by themselves.
module.exports = {};

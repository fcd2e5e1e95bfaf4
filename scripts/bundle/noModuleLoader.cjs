// Replaces node:module in the bundle. pino uses it to find the programs of transports, which the entry process does not use.
module.exports = {
    createRequire: () => {
        throw new Error("the bundle has no transports of pino");
    },
};

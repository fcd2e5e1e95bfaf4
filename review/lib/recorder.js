// Where the stand-ins record what was sent, answered and run. `runCase` sets the function.
export const recorder = { record: () => undefined };

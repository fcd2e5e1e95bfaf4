export * from "./engine/createEngineServer.js";
export * from "./engine/engineOptions.js";
export * from "./engine/expectedAnswer.js";
export type { StandInServer } from "./httpListener.js";
export * from "./platform/createPlatformServer.js";
export * from "./platform/platformFaults.js";
export * from "./service/createServiceServer.js";

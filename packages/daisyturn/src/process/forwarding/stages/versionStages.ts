import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import { groupByVersion } from "../placement/listUsableTargets.js";

/**
 * Returns the engines of the first software version that all prefill, if there is one and none of them is changing. The
 * streams of this version can't be continued, and its prefills are of no use to other versions.
 */
export function findVersionWithoutDecoder(
    engines: readonly ListedTarget[],
    isChanging: (engine: ListedTarget) => boolean,
): readonly ListedTarget[] | undefined {
    return groupByVersion(engines).find(group =>
        group.every(engine => engine.stage === EngineStage.Prefill && !isChanging(engine))
    );
}

/**
 * Lists the engines that may move to a stage, those of the versions that need it most first: the versions with the
 * smallest fraction of their engines in the stage. An engine that alone decodes for its version keeps its stage.
 */
export function listMovableEngines(engines: readonly ListedTarget[], stage: EngineStage): readonly ListedTarget[] {
    return groupByVersion(engines)
        .map(group => ({ movable: listMovable(group, stage), fraction: countInStage(group, stage) / group.length }))
        .sort((left, right) => left.fraction - right.fraction)
        .flatMap(({ movable }) => movable);
}

function listMovable(group: readonly ListedTarget[], stage: EngineStage): readonly ListedTarget[] {
    const movable = group.filter(engine => engine.stage !== stage);
    return stage === EngineStage.Prefill && movable.length === 1 ? [] : movable;
}

function countInStage(group: readonly ListedTarget[], stage: EngineStage): number {
    return group.filter(engine => engine.stage === stage).length;
}

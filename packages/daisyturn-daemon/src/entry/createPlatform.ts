import {
    type ConfigurationManager,
    createHttpEngine,
    createHttpPlainService,
    createHttpTableService,
    createHttpVmList,
    createHttpWeightStore,
    createReadBarrier,
    createTargetDirectory,
    createTargetDispatcher,
    type TableService,
    type TargetDial,
    type TargetDirectory,
    type VmList,
    type WeightStore,
} from "daisyturn";
import type { Clock } from "daisyturn-utils";

/** Adapters to the platform. */
export interface Platform {
    readonly tableService: TableService;
    readonly vmList: VmList;
    readonly weightStore: WeightStore;
    close(): Promise<void>;
}

/** Creates the adapters to the platform's services, which share one URL. */
export function createPlatform(url: string, clock: Clock): Platform {
    const tables = createHttpTableService({ url, clock });
    const vms = createHttpVmList({ url, clock });
    const weights = createHttpWeightStore({ url, clock });
    const close = async () => {
        await Promise.all([tables.close(), vms.close(), weights.close()]);
    };
    return { tableService: tables.tableService, vmList: vms.vmList, weightStore: weights.weightStore, close };
}

/**
 * Creates the target directory. Its adapters share one connection pool; orders to engines have another one, whose
 * connections are always direct.
 * @param dial opens the connections that may lead by way of other processes
 */
export function createHttpTargets(
    configurationManager: ConfigurationManager,
    clock: Clock,
    dial: TargetDial,
): TargetDirectory {
    const dispatcher = createTargetDispatcher(dial);
    const orderDispatcher = createTargetDispatcher();
    const readBarrier = createReadBarrier(clock);
    return createTargetDirectory({
        configurationManager,
        createEngine: ({ name, url }) =>
            createHttpEngine({ engineId: name, url, clock, dispatcher, orderDispatcher, readBarrier }),
        createPlainService: target =>
            createHttpPlainService({ targetId: target.name, url: target.url, clock, dispatcher, readBarrier }),
    });
}

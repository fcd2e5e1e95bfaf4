import {
    type AdmissionOptions,
    createAdmission,
    createRolePlanning,
    createRouter,
    defaultRolePlannerSettings,
    type PlanningRouter,
    type RolePlanning,
    type RouterOptions,
    type RunningAdmission,
} from "daisyturn";
import type { Clock } from "daisyturn-utils";

/** Routing, admission and role planning, which can be replaced, for example by a baseline in a measurement. */
export abstract class EntryPolicies {
    abstract createRouter(options: RouterOptions): PlanningRouter;
    abstract createAdmission(options: AdmissionOptions): RunningAdmission;
    /** Returns undefined if roles are not planned. */
    abstract createRolePlanning(clock: Clock): RolePlanning | undefined;
}

/** The default policies. */
export class StandardPolicies extends EntryPolicies {
    /** @param plansRoles whether the controller changes roles by itself */
    constructor(private readonly plansRoles: boolean) {
        super();
    }

    override createRouter(options: RouterOptions): PlanningRouter {
        return createRouter(options);
    }

    override createAdmission(options: AdmissionOptions): RunningAdmission {
        return createAdmission(options);
    }

    override createRolePlanning(clock: Clock): RolePlanning | undefined {
        return this.plansRoles ? createRolePlanning(clock, defaultRolePlannerSettings) : undefined;
    }
}

/** Policies that the bench compares. */
export enum PolicyName {
    /** Round robin, static roles and no admission limits. */
    Naive = "naive",
    /** The policies of the product, with static roles. */
    StaticRoles = "static_roles",
    /** The policies of the product. */
    Present = "present",
}

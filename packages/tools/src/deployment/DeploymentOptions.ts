import type { MemberRole } from '@laburnumgap/kernel';

/** A model engine of the deployment. */
export interface EngineSpec {
  readonly args?: readonly string[];
  readonly failureDomain: string;
  readonly name: string;
  readonly pool: string;
}

/** A backend server of a service. */
export interface ServiceSpec {
  readonly failureDomain: string;
  readonly name: string;
  readonly service: string;
}

/** An engine pool, as written to the daemons' settings. */
export interface PoolSpec {
  readonly checksFencingNumbers: boolean;
  readonly models: readonly string[];
  readonly name: string;
}

/** An entry VM. */
export interface EntryVmSpec {
  readonly failureDomain: string;
  readonly name: string;
}

/** Options of a `Deployment`. */
export interface DeploymentOptions {
  /** YAML texts of the contracts written before the daemons start. */
  readonly contracts: readonly string[];
  readonly engines: readonly EngineSpec[];
  readonly entryVms: readonly EntryVmSpec[];
  readonly pools: readonly PoolSpec[];
  readonly region: string;
  readonly services: readonly ServiceSpec[];
  /** Settings that override the defaults of every daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Settings that override those of the daemons of one role. */
  readonly settingsByRole?: Readonly<
    Partial<Record<MemberRole, Readonly<Record<string, unknown>>>>
  >;
}

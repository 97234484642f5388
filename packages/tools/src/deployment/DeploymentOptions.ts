import type { MemberRole } from '@laburnumgap/kernel';

/** A model engine of the deployment. */
export interface EngineSpec {
  readonly args?: readonly string[];
  readonly failureDomain: string;
  readonly name: string;
  readonly pool: string;
}

/** A plain service's server. */
export interface ServiceSpec {
  readonly failureDomain: string;
  readonly name: string;
  readonly service: string;
}

/** A pool as the daemons' settings name it. */
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

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  /** YAML texts of the contracts in force from the start. */
  readonly contracts: readonly string[];
  readonly engines: readonly EngineSpec[];
  readonly entryVms: readonly EntryVmSpec[];
  readonly pools: readonly PoolSpec[];
  readonly region: string;
  readonly services: readonly ServiceSpec[];
  /** Settings added to those of every daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Settings added to those of the daemons of a role. */
  readonly settingsOfRole?: Readonly<
    Partial<Record<MemberRole, Readonly<Record<string, unknown>>>>
  >;
}

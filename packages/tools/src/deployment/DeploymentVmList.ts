/** A backend server in the format of the VM list stand-in. */
export interface ListedVm {
  readonly address: string;
  readonly backend:
    | { readonly kind: 'model'; readonly pool: string }
    | { readonly kind: 'service'; readonly service: string };
  readonly failureDomain: string;
  readonly region: string;
  readonly serverId: string;
  state: 'leaving' | 'live';
}

/** State of a server in the VM list; `gone` removes it from the list. */
export type ListedState = 'gone' | ListedVm['state'];

/** The list of backend servers that a deployment publishes. */
export class DeploymentVmList {
  readonly #vms: ListedVm[] = [];

  /** Current entries of the VM list. */
  get vms(): readonly ListedVm[] {
    return this.#vms;
  }

  /** Adds a server or replaces the entry with the same id. */
  put(vm: ListedVm): void {
    this.#remove(vm.serverId);
    this.#vms.push(vm);
  }

  /** Sets the state of a listed server. */
  setState(serverId: string, state: ListedState): void {
    if (state === 'gone') {
      this.#remove(serverId);
      return;
    }
    const vm = this.#vms.find((listed) => listed.serverId === serverId);
    if (vm) {
      vm.state = state;
    }
  }

  #remove(serverId: string): void {
    const index = this.#vms.findIndex((vm) => vm.serverId === serverId);
    if (index >= 0) {
      this.#vms.splice(index, 1);
    }
  }
}

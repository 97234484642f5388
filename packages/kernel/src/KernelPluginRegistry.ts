import { invariant } from './KernelInvariant.js';

/** Undoes a registration or subscription. Further calls have no effect. */
export type Teardown = () => void;

/** Plug-ins of one kind, by name. */
export interface PluginRegistry<Plugin> {
  /** Returns the plug-in with the name, or undefined. */
  find(name: string): Plugin | undefined;
  /** Returns the sorted names of all plug-ins. */
  names(): readonly string[];
  /**
   * Registers a plug-in; the returned function removes it.
   *
   * @throws InvariantError when the name is already registered
   */
  register(name: string, plugin: Plugin): Teardown;
}

/** Invariant 101: plug-in names are unique. */
const DUPLICATE_PLUGIN_INVARIANT = 101;

/**
 * Creates an empty registry for one kind of plug-in.
 *
 * @returns the registry
 */
export function createPluginRegistry<Plugin>(): PluginRegistry<Plugin> {
  const plugins = new Map<string, Plugin>();
  return {
    find: (name) => plugins.get(name),
    names: () => [...plugins.keys()].sort(),
    register: (name, plugin) => {
      invariant(
        !plugins.has(name),
        DUPLICATE_PLUGIN_INVARIANT,
        `plug-in ${name} is already registered`,
      );
      plugins.set(name, plugin);
      return () => {
        if (plugins.get(name) === plugin) {
          plugins.delete(name);
        }
      };
    },
  };
}

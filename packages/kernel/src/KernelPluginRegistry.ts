import { invariant } from './KernelInvariant.js';

/** Removes what a `register…()` call attached. Calling it twice does nothing more. */
export type Teardown = () => void;

/** Holds the plug-ins of one kind by name. */
export interface PluginRegistry<Plugin> {
  /** Returns the plug-in of that name, or undefined. */
  find(name: string): Plugin | undefined;
  /** Names of all plug-ins, sorted. */
  names(): readonly string[];
  /** Adds a plug-in; the returned function removes it again. */
  register(name: string, plugin: Plugin): Teardown;
}

/** Invariant 101: a plug-in name is registered once. */
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
      invariant(!plugins.has(name), DUPLICATE_PLUGIN_INVARIANT, `plug-in ${name} is registered`);
      plugins.set(name, plugin);
      return () => {
        if (plugins.get(name) === plugin) {
          plugins.delete(name);
        }
      };
    },
  };
}

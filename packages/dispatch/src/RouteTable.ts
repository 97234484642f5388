import type { ServiceId } from '@laburnumgap/kernel';
import type {
  ServingConfiguration,
  ServingRoute,
  ServingService,
  ServingTeam,
} from './ServingConfiguration.js';

/** Looks up routes, teams and services of one configuration. */
export class RouteTable {
  readonly configuration: ServingConfiguration;
  private readonly routesByHost = new Map<string, Map<string, ServingRoute>>();
  private readonly services: ReadonlyMap<ServiceId, ServingService>;
  private readonly teamsByKey = new Map<string, ServingTeam>();

  constructor(configuration: ServingConfiguration) {
    this.configuration = configuration;
    this.services = new Map(configuration.services.map((service) => [service.service, service]));
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host) ?? new Map<string, ServingRoute>();
      routes.set(route.pathPrefix, route);
      this.routesByHost.set(route.host, routes);
    }
    for (const team of configuration.teams) {
      for (const apiKey of team.apiKeys) {
        this.teamsByKey.set(apiKey, team);
      }
    }
  }

  /** Whether callers have to show a key at all. */
  hasTeams(): boolean {
    return this.configuration.teams.length > 0;
  }

  /**
   * Finds the route with the longest prefix of a path.
   *
   * @param host - the host that the caller named, with or without a port
   * @param path - path with its query
   * @returns the route, or undefined
   */
  findRoute(host: string, path: string): ServingRoute | undefined {
    const routes = this.routesByHost.get(host) ?? this.routesByHost.get(withoutPort(host));
    if (!routes) {
      return undefined;
    }
    const queryAt = path.indexOf('?');
    const plainPath = queryAt < 0 ? path : path.slice(0, queryAt);
    for (
      let end = plainPath.lastIndexOf('/');
      end >= 0;
      end = plainPath.lastIndexOf('/', end - 1)
    ) {
      const route = routes.get(plainPath.slice(0, end + 1));
      if (route || end === 0) {
        return route;
      }
    }
    return undefined;
  }

  findService(service: ServiceId): ServingService | undefined {
    return this.services.get(service);
  }

  findTeam(apiKey: string): ServingTeam | undefined {
    return this.teamsByKey.get(apiKey);
  }
}

/**
 * Draws the service that a request goes to, by the weights of the route.
 *
 * @param route - the route
 * @param unit - a random number in [0, 1)
 * @returns the service, or undefined where no target has a weight
 */
export function selectService(route: ServingRoute, unit: number): ServiceId | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = unit * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (weight > 0 && left < 0) {
      return service;
    }
  }
  return undefined;
}

function withoutPort(host: string): string {
  const colonAt = host.lastIndexOf(':');
  return colonAt < 0 ? host : host.slice(0, colonAt);
}

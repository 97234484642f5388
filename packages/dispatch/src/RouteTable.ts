import type { ServiceId } from '@laburnumgap/kernel';
import type {
  ServingConfiguration,
  ServingRoute,
  ServingService,
  ServingTeam,
} from './ServingConfiguration.js';

/** Indexes the routes, teams and services of one configuration. */
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

  /** Whether the configuration has teams, so that callers need an API key. */
  hasTeams(): boolean {
    return this.configuration.teams.length > 0;
  }

  /**
   * Finds the route of a host with the longest matching path prefix.
   *
   * @param host - value of the caller's Host header, with or without a port
   * @param path - path with its query
   * @returns the route, or undefined without a match
   */
  findRoute(host: string, path: string): ServingRoute | undefined {
    const routes = this.routesByHost.get(host) ?? this.routesByHost.get(stripPort(host));
    if (!routes) {
      return undefined;
    }
    const queryAt = path.indexOf('?');
    const pathname = queryAt < 0 ? path : path.slice(0, queryAt);
    for (let end = pathname.lastIndexOf('/'); end >= 0; end = pathname.lastIndexOf('/', end - 1)) {
      const route = routes.get(pathname.slice(0, end + 1));
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
 * Selects the service for a request at random, by the weights of the route's targets.
 *
 * @param route - the route of the request
 * @param randomUnit - a random number in [0, 1)
 * @returns the service, or undefined when no target has a weight
 */
export function selectService(route: ServingRoute, randomUnit: number): ServiceId | undefined {
  const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = randomUnit * totalWeight;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (weight > 0 && remaining < 0) {
      return service;
    }
  }
  return undefined;
}

function stripPort(host: string): string {
  const colonAt = host.lastIndexOf(':');
  return colonAt < 0 ? host : host.slice(0, colonAt);
}

import type { ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { RouteTable, selectService } from '../../index.js';
import { configurationOf, routeOf } from '../support/DispatchFixtures.js';

const TABLE = new RouteTable(
  configurationOf([
    routeOf({ name: 'all' }),
    routeOf({ name: 'orders', pathPrefix: '/orders/' }),
    routeOf({ name: 'new-orders', pathPrefix: '/orders/new/' }),
    routeOf({ host: 'other.example', name: 'other', pathPrefix: '/only/' }),
  ]),
);

const CASES: readonly (readonly [host: string, path: string, route: string | undefined])[] = [
  ['shop.example', '/', 'all'],
  ['shop.example', '/orders', 'all'],
  ['shop.example', '/orders/', 'orders'],
  ['shop.example', '/orders/7?x=/orders/new/', 'orders'],
  ['shop.example', '/orders/new/7', 'new-orders'],
  ['shop.example:80', '/orders/new/7', 'new-orders'],
  ['other.example', '/', undefined],
  ['other.example', '/only/x', 'other'],
  ['unknown.example', '/', undefined],
];

for (const [host, path, route] of CASES) {
  test(`${host}${path} goes to ${route ?? 'no route'}`, (t) => {
    t.is(TABLE.findRoute(host, path)?.name, route);
  });
}

test('API keys identify teams', (t) => {
  t.is(TABLE.findTeam('key-2')?.teamId as string, 'team');
  t.is(TABLE.findTeam('key-3'), undefined);
});

test('a route with several targets selects services by their weights', (t) => {
  const a = toId<ServiceId>('a');
  const b = toId<ServiceId>('b');
  const route = routeOf({
    targets: [
      { service: a, weight: 90 },
      { service: b, weight: 10 },
    ],
  });
  t.is(selectService(route, 0), a);
  t.is(selectService(route, 0.899), a);
  t.is(selectService(route, 0.9), b);
  t.is(selectService(route, 0.999_999), b);
});

test('a route without targets selects no service', (t) => {
  t.is(selectService(routeOf({ targets: [] }), 0.5), undefined);
});

import test from 'ava';
import { parseSocketAddress } from '../../index.js';

const CASES = [
  { address: '127.0.0.1:0', host: '127.0.0.1', port: 0 },
  { address: '10.20.1.11:7100', host: '10.20.1.11', port: 7100 },
  { address: '[::1]:7100', host: '[::1]', port: 7100 },
  { address: 'localhost:65535', host: 'localhost', port: 65535 },
];

for (const { address, host, port } of CASES) {
  test(`${address} has host ${host} and port ${port}`, (t) => {
    t.deepEqual(parseSocketAddress(address), { host, port });
  });
}

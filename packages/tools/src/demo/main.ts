import { randomUUID } from 'node:crypto';
import { streamCompletion } from '../deployment/DeploymentCaller.js';
import { Deployment } from '../deployment/Deployment.js';

const contract = `
customer: hoa-sen
team: head-office
keys:
  - id: main
    sha256: 2c66c2c4a4e5cb7a4da9dbd4f0a2bd6b5d9dc1c35c5ec4d0b0ba4c77d4d8c5a7
limits: { concurrentRequests: 50, requestsPerSecond: 50, tokensPerSecond: 100000 }
models: [{ name: report-writer, maxTokens: 2000 }]
scheduling: { class: standard }
waitBoundMs: 20000
`;
import { hashKey } from '@laburnumgap/contracts';
const key = 'demo-key';
const d = new Deployment({
  contracts: [contract.replace(/sha256: .*/, `sha256: ${hashKey(key)}`)],
  engines: [
    {
      failureDomain: 'a',
      name: 'model-1',
      pool: 'main',
      args: ['--models', 'report-writer', '--min-output', '100'],
    },
    {
      failureDomain: 'b',
      name: 'model-2',
      pool: 'main',
      args: ['--models', 'report-writer', '--min-output', '100'],
    },
  ],
  entryVms: ['a', 'b', 'c'].map((f) => ({ failureDomain: f, name: `entry-${f}` })),
  pools: [{ checksFencingNumbers: true, models: ['report-writer'], name: 'main' }],
  region: 'south',
  services: [],
});
await d.start();
await new Promise((r) => setTimeout(r, 1500));
const answer = await streamCompletion({
  apiKey: key,
  maxTokens: 200,
  model: 'report-writer',
  prompt: 'hello there',
  requestId: randomUUID(),
  router: d.routers()[0]?.address ?? '',
});
console.log(answer.end, answer.tokens.length, answer.tokens.slice(0, 3));
for (const l of d.linesWhere((x) => x.event === 'decision' || x.level !== 'info').slice(0, 40))
  console.log(JSON.stringify(l));
console.log(await d.stop());

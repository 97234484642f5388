#!/usr/bin/env node
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { createEtcdStore } from '@laburnumgap/key-value';
import { createRpcClients } from '@laburnumgap/rpc';
import { runCtl } from './CtlProgram.js';

process.exitCode = await runCtl(process.argv, {
  connectClients: (settings) => createRpcClients(settings.peers.secret),
  connectStore: ({ platform }) =>
    createEtcdStore({ deadlineMs: platform.deadlineMs, url: platform.storeUrl }),
  newId: () => randomUUID(),
  nowEpochMs: () => Date.now(),
  readStdin: () => text(process.stdin),
  readText: (file) => readFile(file, 'utf8'),
  wait: (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs)),
  writeError: (line) => {
    process.stderr.write(`${line}\n`);
  },
  writeLine: (line) => {
    process.stdout.write(`${line}\n`);
  },
});

#!/usr/bin/env node
import { runDaemonProgram } from '@laburnumgap/daemon';
import { startNode } from '@laburnumgap/node';
import { routerProgram } from './RouterProgram.js';

runDaemonProgram(routerProgram(startNode));

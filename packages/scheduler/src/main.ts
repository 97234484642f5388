#!/usr/bin/env node
import { runDaemonProgram } from '@laburnumgap/daemon';
import { startNode } from '@laburnumgap/node';
import { schedulerProgram } from './SchedulerProgram.js';

runDaemonProgram(schedulerProgram(startNode));

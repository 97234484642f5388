#!/usr/bin/env node
import { runDaemonProgram } from '@laburnumgap/daemon';
import { startNode } from '@laburnumgap/node';
import { ledgerProgram } from './LedgerProgram.js';

runDaemonProgram(ledgerProgram(startNode));

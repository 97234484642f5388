import { runStandinCli } from './StandinCli.js';

runStandinCli(process.argv);

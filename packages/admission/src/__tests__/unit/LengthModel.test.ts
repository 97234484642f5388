import test from 'ava';
import fc from 'fast-check';
import { LENGTH_BUCKET_COUNT, LengthModel, LengthSurvivalCurve } from '../../index.js';
import { requestOf } from '../AdmissionFixtures.js';

const bucketProbabilities = fc
  .array(fc.double({ max: 1, min: 0, noNaN: true }), {
    maxLength: LENGTH_BUCKET_COUNT,
    minLength: LENGTH_BUCKET_COUNT,
  })
  .filter((probabilities) => probabilities.some((probability) => probability > 0.01))
  .map((probabilities) => {
    const total = probabilities.reduce((sum, probability) => sum + probability, 0);
    return probabilities.map((probability) => probability / total);
  });

test('property: the survival probability lies between 0 and 1 and does not increase', (t) => {
  const lengths = fc.integer({ max: 200_000, min: 0 });
  const property = fc.property(
    bucketProbabilities,
    lengths,
    lengths,
    (probabilities, one, other) => {
      const curve = new LengthSurvivalCurve(probabilities);
      const [short, long] = one < other ? [one, other] : [other, one];
      const atShort = curve.survivalProbability(short);
      const atLong = curve.survivalProbability(long);
      return atLong >= -1e-9 && atShort <= 1 + 1e-9 && atLong <= atShort + 1e-9;
    },
  );
  t.notThrows(() => {
    fc.assert(property);
  });
});

test('property: the remaining length agrees with a sum over every token', (t) => {
  const tokens = fc.integer({ max: 600, min: 0 });
  const property = fc.property(
    bucketProbabilities,
    tokens,
    tokens,
    (probabilities, produced, bound) => {
      const curve = new LengthSurvivalCurve(probabilities);
      const maxTokens = produced + bound;
      let expectedTokens = 0;
      for (let step = 0; step < bound; step += 1) {
        const stepProbabilities = [step, step + 1].map((at) =>
          curve.growthProbability(produced, at),
        );
        expectedTokens += ((stepProbabilities[0] ?? 0) + (stepProbabilities[1] ?? 0)) / 2;
      }
      const remaining = curve.expectedRemainingTokens(produced, maxTokens);
      return Math.abs(remaining - expectedTokens) <= 0.05 * expectedTokens + 1;
    },
  );
  t.notThrows(() => {
    fc.assert(property, { numRuns: 50 });
  });
});

test('the expected remaining length grows with the tokens produced', (t) => {
  const lengths = new LengthModel();
  for (let count = 0; count < 200; count += 1) {
    lengths.observe(requestOf(), count % 5 === 0 ? 2_000 : 30);
  }
  const curve = lengths.curveOf(requestOf());
  t.true(curve.expectedRemainingTokens(100, 4_000) > 2 * curve.expectedRemainingTokens(0, 4_000));
});

test('the limit of the caller bounds the length but is not an estimate', (t) => {
  const lengths = new LengthModel();
  for (let count = 0; count < 400; count += 1) {
    lengths.observe(requestOf({ maxTokens: 8_000 }), 50);
  }
  const curve = lengths.curveOf(requestOf({ maxTokens: 8_000 }));
  t.true(curve.expectedRemainingTokens(0, 8_000) < 150);
  t.true(curve.expectedRemainingTokens(0, 10) <= 10);
});

test('an unknown team is predicted from other teams with the same model and kind', (t) => {
  const lengths = new LengthModel();
  for (let count = 0; count < 200; count += 1) {
    lengths.observe(requestOf({ maxTokens: 100, team: 'known' }), 20);
    lengths.observe(requestOf({ maxTokens: 8_000, team: 'known' }), 1_000);
  }
  const short = lengths.curveOf(requestOf({ maxTokens: 100, team: 'new' }));
  const long = lengths.curveOf(requestOf({ maxTokens: 8_000, team: 'new' }));
  t.true(short.expectedRemainingTokens(0, 100) < 40);
  t.true(long.expectedRemainingTokens(0, 8_000) > 700);
});

test('kinds with the same limit are distinguished by prompt length', (t) => {
  const lengths = new LengthModel();
  for (let count = 0; count < 200; count += 1) {
    lengths.observe(requestOf({ promptTokens: 100 }), 20);
    lengths.observe(requestOf({ promptTokens: 2_000 }), 1_000);
  }
  const short = lengths.curveOf(requestOf({ promptTokens: 100, team: 'new' }));
  const long = lengths.curveOf(requestOf({ promptTokens: 2_000, team: 'new' }));
  t.true(short.expectedRemainingTokens(0, 4_000) < 60);
  t.true(long.expectedRemainingTokens(0, 4_000) > 700);
});

test('a team that differs from others has its own distribution', (t) => {
  const lengths = new LengthModel();
  for (let count = 0; count < 100; count += 1) {
    lengths.observe(requestOf({ team: 'short' }), 20);
    lengths.observe(requestOf({ team: 'long' }), 1_000);
  }
  const short = lengths.curveOf(requestOf({ team: 'short' })).expectedRemainingTokens(0, 4_000);
  const long = lengths.curveOf(requestOf({ team: 'long' })).expectedRemainingTokens(0, 4_000);
  t.true(long > 3 * short);
});

test('memory is bounded at 1,200 teams, 27 models and two kinds', (t) => {
  const lengths = new LengthModel();
  for (let team = 0; team < 1_200; team += 1) {
    for (let model = 0; model < 27; model += 1) {
      for (const maxTokens of [100, 8_000]) {
        const request = requestOf({ maxTokens, team: `team-${team}` });
        lengths.observe({ ...request, model: `model-${model}` as typeof request.model }, 50);
      }
    }
  }
  t.true(lengths.size() <= 32_768);
  t.true(lengths.slabBytes() <= 7 * 1024 * 1024, `${lengths.slabBytes()}`);
});

/**
 * Messages that the builds 64c15bd and 0c0fc3c sent, each with what that build itself read from it. A
 * rolling upgrade runs them beside this one.
 */
export const FORMER_BUILD = {
  configuration: {
    base64:
      'ZVLRbtswDPyXexZWJ03RTY8thrXoAgRN34Y8qDYbC7YpT2KyGIH/faAcbwH6Jh6po+5OZ7S+85Jgz6jJVRTffEfhIOsEe1sUhYGvWroCF3cZ7dzpIVTDwyCk4AV6yhT/wdEghkOufp1RhySwSHXov9DJdX1LMGg8V4pKJNch03w/EssP1+d9XyfqLcUjxQS71HJ4pSQuyna6ZSUeyIBdR7CoovsQGDBRlV5omNu9k3oT6cOfYHGTp25gEB03sAsDcXFP8tMJcTlcdhczPElIFI++1CXEe8+UYPCH/L4W2MW4M5Ar+74VRaHY5dLEUIa2eqXfB0qSNhS3sHcmg1vVMztsLvyay7vauaH4FhpifdTqdmlQOn4M/T9tpeN1ONJctp6b9Xuvdt3nbKgLccgM+rJVzjC1QWUtVwaSOxuK2XrY1Wj0P7RSb5zUatdUTfk8BmYqxQees//sSzaDXDepdr1/oUHPaLCbPV9OI8+avx4wmuvR3VWbA1Pm1E/gA8Pej38B',
    read: {
      limits: {
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15000,
        maxBodyBytes: 100,
        maxHeaderBytes: 100,
      },
      routes: [
        {
          host: 'shop.example',
          kind: 'stream',
          maxEventGapMs: 180,
          maxServers: 2,
          mayRestartStream: true,
          name: 'draft',
          needsKey: true,
          pathPrefix: '/draft/',
          rank: 1,
          targetLatencyMs: 1800,
          targets: [
            {
              service: 'engines',
              weight: 1,
            },
          ],
          timeoutMs: 39000,
        },
      ],
      services: [
        {
          coldRequestsPerS: 5,
          coldStartMs: 1500,
          engine: {
            bytesPerToken: 18432,
            canCopy: true,
            canMove: true,
            linkMbps: 2700,
            memoryTokens: 34000,
            slots: 24,
            tokensPerEvent: 4,
          },
          healthPath: '/health',
          maxConnections: 100,
          service: 'engines',
        },
      ],
      teams: [
        {
          apiKeys: ['k'],
          rank: 2,
          teamId: 'team',
        },
        {
          apiKeys: [],
          teamId: 'none',
        },
      ],
      version: 7,
    },
  },
  messages: [
    {
      read: {
        cold: [
          {
            ageMs: 5,
            remainingMs: 700,
            serverId: 'i-1',
            startedEpochMs: 7,
          },
        ],
        configurationVersion: 4,
        era: 1,
        evacuations: [
          {
            era: 1,
            failureDomain: 'b',
            isEvacuated: true,
            revision: 9,
          },
        ],
        failureDomain: 'a',
        host: '10.0.0.1',
        incarnation: 17,
        isCutOff: true,
        isDraining: false,
        isStopping: false,
        leavingServers: [
          {
            serverId: 'i-2',
            startedEpochMs: 8,
          },
        ],
        limits: [
          {
            ageMs: 5,
            maxRejectionsPerS: 4,
            requestsPerS: 3.5,
            serverId: 'i-1',
            startedEpochMs: 7,
          },
        ],
        memberId: 'm1',
        quarantines: [
          {
            ageMs: 700,
            crashAgesMs: [900, 800, 700],
            episode: 1,
            fingerprint: 'part a',
            idleMs: 700,
            stage: 'suspected',
            trials: 0,
          },
        ],
        revision: 12,
        sequence: 3,
        shares: [
          {
            longRuns: 1,
            plannedTokens: 1200,
            readingTokens: 300,
            runs: 2,
            serverId: 'i-1',
            usedTokens: 900,
          },
        ],
        storeIsAway: false,
      },
      sent: '{"cold":[{"ageMs":5,"remainingMs":700,"serverId":"i-1","startedEpochMs":7}],"configurationVersion":4,"era":1,"evacuations":[["b",1,9,1]],"failureDomain":"a","host":"10.0.0.1","incarnation":17,"isCutOff":true,"isDraining":false,"isStopping":false,"leavingServers":[{"serverId":"i-2","startedEpochMs":8}],"limits":[{"ageMs":5,"maxRejectionsPerS":4,"requestsPerS":3.5,"serverId":"i-1","startedEpochMs":7}],"memberId":"m1","quarantines":[{"ageMs":700,"crashAgesMs":[900,800,700],"episode":1,"fingerprint":"part a","idleMs":700,"stage":"suspected","trials":0}],"revision":12,"sequence":3,"shares":[["i-1",1200,300,900,2]],"storeIsAway":false,"longRuns":[1]}',
    },
    {
      read: {
        configurationVersion: 4,
        era: 1,
        evacuations: [
          {
            era: 1,
            failureDomain: 'b',
            isEvacuated: true,
            revision: 9,
          },
        ],
        host: '10.0.0.1',
        kind: 'changes',
        members: [
          {
            host: '10.0.0.2',
            memberId: 'm2',
          },
        ],
        membersGone: ['m3'],
        revision: 13,
        servers: [
          {
            revision: 13,
            server: {
              failureDomain: 'a',
              host: '10.0.0.1',
              leaving: false,
              port: 8080,
              remainingColdMs: 700,
              serverId: 'i-1',
              service: 'engines',
              slots: 24,
              startedEpochMs: 1700000000000,
            },
            serverId: 'i-1',
          },
          {
            revision: 12,
            serverId: 'i-2',
          },
          {
            isLapsed: true,
            revision: 11,
            serverId: 'i-3',
          },
        ],
        sinceRevision: 12,
      },
      sent: '{"configurationVersion":4,"era":1,"evacuations":[["b",1,9,1]],"host":"10.0.0.1","kind":"changes","members":[{"host":"10.0.0.2","memberId":"m2"}],"membersGone":["m3"],"revision":13,"servers":[{"revision":13,"server":{"failureDomain":"a","host":"10.0.0.1","leaving":false,"port":8080,"remainingColdMs":700,"serverId":"i-1","service":"engines","slots":24,"startedEpochMs":1700000000000},"serverId":"i-1"},{"revision":12,"serverId":"i-2"},{"isLapsed":true,"revision":11,"serverId":"i-3"}],"sinceRevision":12}',
    },
    {
      read: {
        failureDomain: 'a',
        host: '10.0.0.1',
        kind: 'configuration',
        version: 5,
      },
      sent: '{"failureDomain":"a","host":"10.0.0.1","kind":"configuration","version":5}',
    },
    {
      read: {
        digest: {
          configurationVersion: 4,
          era: 1,
          host: '10.0.0.1',
          members: [
            {
              host: '10.0.0.2',
              isCutOff: true,
              isDraining: false,
              memberId: 'm2',
              storeIsAway: true,
            },
          ],
          revision: 12,
        },
        failureDomain: 'a',
        kind: 'domainLoad',
        shares: [
          {
            longRuns: 1,
            plannedTokens: 1200,
            readingTokens: 300,
            runs: 2,
            serverId: 'i-1',
            usedTokens: 900,
          },
        ],
      },
      sent: '{"digest":{"configurationVersion":4,"era":1,"host":"10.0.0.1","members":[{"host":"10.0.0.2","isCutOff":true,"isDraining":false,"memberId":"m2","storeIsAway":true}],"revision":12},"failureDomain":"a","kind":"domainLoad","shares":[["i-1",1200,300,900,2]],"longRuns":[1]}',
    },
    {
      read: {
        kind: 'moveDone',
        requestId: 'r1',
      },
      sent: '{"kind":"moveDone","requestId":"r1"}',
    },
    {
      read: {
        kind: 'moveQueued',
        requestId: 'r1',
      },
      sent: '{"kind":"moveQueued","requestId":"r1"}',
    },
    {
      read: {
        kind: 'moveTurn',
        requestId: 'r1',
        targetId: 'i-2',
      },
      sent: '{"kind":"moveTurn","requestId":"r1","targetId":"i-2"}',
    },
    {
      read: {
        kind: 'moveWanted',
        wish: {
          endsSoon: false,
          memberId: 'm1',
          requestId: 'r1',
          sourceId: 'i-1',
          targetIds: ['i-2'],
          usedTokens: 900,
        },
      },
      sent: '{"kind":"moveWanted","wish":{"endsSoon":false,"memberId":"m1","requestId":"r1","sourceId":"i-1","targetIds":["i-2"],"usedTokens":900}}',
    },
    {
      read: {
        isGranted: true,
        kind: 'roomAnswer',
        requestId: 'r1',
        serverId: 'i-1',
        totals: {
          plannedTokens: 1,
          readingTokens: 2,
          runs: 3,
          usedTokens: 4,
        },
      },
      sent: '{"isGranted":true,"kind":"roomAnswer","requestId":"r1","serverId":"i-1","totals":{"plannedTokens":1,"readingTokens":2,"runs":3,"usedTokens":4}}',
    },
    {
      read: {
        kind: 'roomWanted',
        memberId: 'm1',
        wish: {
          believedReadingTokens: 0,
          longRuns: 1,
          plannedTokens: 1,
          priority: {
            rank: 1,
            slackMs: 20,
          },
          promptTokens: 1,
          requestId: 'r1',
          serverId: 'i-1',
          unreadTokens: 1,
        },
      },
      sent: '{"kind":"roomWanted","memberId":"m1","wish":{"believedReadingTokens":0,"longRuns":1,"plannedTokens":1,"priority":{"rank":1,"slackMs":20},"promptTokens":1,"requestId":"r1","serverId":"i-1","unreadTokens":1}}',
    },
    {
      read: {
        heldNumbers: [1, 2],
        isCold: true,
        kind: 'permitRequest',
        limit: {
          ageMs: 5,
          maxRejectionsPerS: 4,
          requestsPerS: 3.5,
          serverId: 'i-1',
          startedEpochMs: 7,
        },
        maxWaitMs: 100,
        memberId: 'm1',
        requestNumber: 3,
        serverId: 'i-1',
      },
      sent: '{"heldNumbers":[1,2],"isCold":true,"kind":"permitRequest","limit":{"ageMs":5,"maxRejectionsPerS":4,"requestsPerS":3.5,"serverId":"i-1","startedEpochMs":7},"maxWaitMs":100,"memberId":"m1","requestNumber":3,"serverId":"i-1"}',
    },
    {
      read: {
        countsCold: true,
        decision: {
          kind: 'granted',
          waitMs: 20,
        },
        kind: 'permitResponse',
        limit: {
          ageMs: 5,
          maxRejectionsPerS: 4,
          requestsPerS: 3.5,
          serverId: 'i-1',
          startedEpochMs: 7,
        },
        requestNumber: 3,
        serverId: 'i-1',
      },
      sent: '{"countsCold":true,"decision":{"kind":"granted","waitMs":20},"kind":"permitResponse","limit":{"ageMs":5,"maxRejectionsPerS":4,"requestsPerS":3.5,"serverId":"i-1","startedEpochMs":7},"requestNumber":3,"serverId":"i-1"}',
    },
    {
      read: {
        isRejected: true,
        isUnused: false,
        kind: 'permitReleased',
        memberId: 'm1',
        requestNumber: 3,
        serverId: 'i-1',
      },
      sent: '{"isRejected":true,"isUnused":false,"kind":"permitReleased","memberId":"m1","requestNumber":3,"serverId":"i-1"}',
    },
    {
      read: {
        kind: 'serverBackoff',
        retryAfterMs: 500,
        server: {
          serverId: 'i-1',
          startedEpochMs: 7,
        },
      },
      sent: '{"kind":"serverBackoff","retryAfterMs":500,"server":{"serverId":"i-1","startedEpochMs":7}}',
    },
    {
      read: {
        ageMs: 12,
        fingerprints: ['part a', 'call b'],
        isTrial: false,
        kind: 'serverCrash',
        server: {
          serverId: 'i-1',
          startedEpochMs: 7,
        },
      },
      sent: '{"ageMs":12,"fingerprints":["part a","call b"],"isTrial":false,"kind":"serverCrash","server":{"serverId":"i-1","startedEpochMs":7}}',
    },
    {
      read: {
        fingerprint: 'part a',
        kind: 'trialRequest',
        memberId: 'm1',
        requestNumber: 9,
      },
      sent: '{"fingerprint":"part a","kind":"trialRequest","memberId":"m1","requestNumber":9}',
    },
    {
      read: {
        isGranted: true,
        kind: 'trialResponse',
        reports: [
          {
            ageMs: 700,
            crashAgesMs: [900, 800, 700],
            episode: 1,
            fingerprint: 'part a',
            idleMs: 700,
            stage: 'suspected',
            trials: 0,
          },
        ],
        requestNumber: 9,
      },
      sent: '{"isGranted":true,"kind":"trialResponse","reports":[{"ageMs":700,"crashAgesMs":[900,800,700],"episode":1,"fingerprint":"part a","idleMs":700,"stage":"suspected","trials":0}],"requestNumber":9}',
    },
    {
      read: {
        kind: 'quarantine',
        reports: [
          {
            ageMs: 700,
            crashAgesMs: [900, 800, 700],
            episode: 1,
            fingerprint: 'part a',
            idleMs: 700,
            stage: 'suspected',
            trials: 0,
          },
        ],
      },
      sent: '{"kind":"quarantine","reports":[{"ageMs":700,"crashAgesMs":[900,800,700],"episode":1,"fingerprint":"part a","idleMs":700,"stage":"suspected","trials":0}]}',
    },
    {
      read: {
        ageMs: 12,
        fingerprints: ['part a', 'call b'],
        isTrial: true,
        kind: 'serverCrash',
        server: { serverId: 'i-1', startedEpochMs: 7 },
        sinceSentMs: [40, 55],
      },
      sent: '{"ageMs":12,"fingerprints":["part a","call b"],"isTrial":true,"kind":"serverCrash","server":{"serverId":"i-1","startedEpochMs":7},"sinceSentMs":[40,55]}',
    },
  ],
  snapshot: {
    read: {
      configuration: {
        limits: {
          headerTimeoutMs: 3000,
          idleTimeoutMs: 15000,
          maxBodyBytes: 100,
          maxHeaderBytes: 100,
        },
        routes: [
          {
            host: 'shop.example',
            kind: 'stream',
            maxEventGapMs: 180,
            maxServers: 2,
            mayRestartStream: true,
            name: 'draft',
            needsKey: true,
            pathPrefix: '/draft/',
            rank: 1,
            targetLatencyMs: 1800,
            targets: [
              {
                service: 'engines',
                weight: 1,
              },
            ],
            timeoutMs: 39000,
          },
        ],
        services: [
          {
            coldRequestsPerS: 5,
            coldStartMs: 1500,
            engine: {
              bytesPerToken: 18432,
              canCopy: true,
              canMove: true,
              linkMbps: 2700,
              memoryTokens: 34000,
              slots: 24,
              tokensPerEvent: 4,
            },
            healthPath: '/health',
            maxConnections: 100,
            service: 'engines',
          },
        ],
        teams: [
          {
            apiKeys: ['k'],
            rank: 2,
            teamId: 'team',
          },
          {
            apiKeys: [],
            teamId: 'none',
          },
        ],
        version: 7,
      },
      era: 1,
      evacuations: [
        {
          era: 1,
          failureDomain: 'b',
          isEvacuated: true,
          revision: 9,
        },
      ],
      knownVersion: 4,
      limits: [
        {
          ageMs: 5,
          maxRejectionsPerS: 4,
          requestsPerS: 3.5,
          serverId: 'i-1',
          startedEpochMs: 7,
        },
      ],
      members: [
        {
          host: '10.0.0.2',
          memberId: 'm2',
        },
      ],
      revision: 12,
      servers: [
        {
          leaving: false,
          revision: 12,
          server: {
            failureDomain: 'a',
            host: '10.0.0.1',
            leaving: false,
            port: 8080,
            remainingColdMs: 700,
            serverId: 'i-1',
            service: 'engines',
            slots: 24,
            startedEpochMs: 1700000000000,
          },
        },
        {
          lapsedUntilMs: 900,
          leaving: true,
          revision: 11,
          server: {
            failureDomain: 'a',
            host: '10.0.0.1',
            leaving: false,
            port: 8080,
            remainingColdMs: 700,
            serverId: 'i-2',
            service: 'engines',
            slots: 24,
            startedEpochMs: 1700000000000,
          },
        },
      ],
    },
    sent: '{"configuration":{"limits":{"headerTimeoutMs":3000,"idleTimeoutMs":15000,"maxBodyBytes":100,"maxHeaderBytes":100},"routes":[{"host":"shop.example","kind":"stream","maxEventGapMs":180,"maxServers":2,"mayRestartStream":true,"name":"draft","needsKey":true,"pathPrefix":"/draft/","rank":1,"targetLatencyMs":1800,"targets":[{"service":"engines","weight":1}],"timeoutMs":39000}],"services":[{"coldRequestsPerS":5,"coldStartMs":1500,"engine":{"bytesPerToken":18432,"canCopy":true,"canMove":true,"linkMbps":2700,"memoryTokens":34000,"slots":24,"tokensPerEvent":4},"healthPath":"/health","maxConnections":100,"service":"engines"}],"teams":[{"apiKeys":["k"],"rank":2,"teamId":"team"},{"apiKeys":[],"teamId":"none"}],"version":7},"era":1,"evacuations":[["b",1,9,1]],"knownVersion":4,"limits":[{"ageMs":5,"maxRejectionsPerS":4,"requestsPerS":3.5,"serverId":"i-1","startedEpochMs":7}],"members":[{"host":"10.0.0.2","memberId":"m2"}],"revision":12,"servers":[{"leaving":false,"revision":12,"server":{"failureDomain":"a","host":"10.0.0.1","leaving":false,"port":8080,"remainingColdMs":700,"serverId":"i-1","service":"engines","slots":24,"startedEpochMs":1700000000000}},{"lapsedUntilMs":900,"leaving":true,"revision":11,"server":{"failureDomain":"a","host":"10.0.0.1","leaving":false,"port":8080,"remainingColdMs":700,"serverId":"i-2","service":"engines","slots":24,"startedEpochMs":1700000000000}}]}',
  },
} as const;

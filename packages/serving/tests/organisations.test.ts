import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("access of organisations");

const ROUTE: serving.Route = {
  name: "route",
  host: "desk",
  pathPrefix: "/",
  requestClass: serving.RequestClass.Idempotent,
  resumable: false,
  carriesPrompt: false,
  timeoutMs: 1_000,
  objectiveMs: 100,
  pauseMs: 100,
  priority: 3,
  attempts: 1,
  shares: [{ service: "service", weight: 1 }],
  isPublic: false,
};

const isCurrent = (): boolean => true;

const anyKey = fc.stringMatching(/^[a-z0-9]{1,24}$/);

function organisation(name: string, keys: readonly string[]): serving.Organisation {
  return { name, keyDigests: keys.map(serving.keyDigest), priority: undefined };
}

suite("each key leads to its organisation, and any other key to none", () => {
  const anyOwnership = fc.dictionary(anyKey, fc.integer({ min: 0, max: 5 }), { maxKeys: 30 });
  fc.assert(
    fc.property(anyOwnership, anyKey, fc.boolean(), (owners, stranger, isPublic) => {
      const keysOf = (index: number): string[] => Object.keys(owners).filter((key) => owners[key] === index);
      const organisations = [0, 1, 2, 3, 4, 5].map((index) => organisation(`o${index}`, keysOf(index)));
      const directory = new serving.OrganisationDirectory(organisations);
      const admit = (key: string): string | undefined =>
        directory.admit({ ...ROUTE, isPublic }, serving.credentialOf(key), isCurrent).unwrapOr(undefined)?.organisation
          ?.name;
      for (const [key, index] of Object.entries(owners)) assert.is(admit(key), `o${index}`);
      if (!(stranger in owners)) assert.is(admit(stranger), undefined);
    }),
  );
});

suite("a request without a valid key is served on a public route only if it presents none", () => {
  const directory = new serving.OrganisationDirectory([organisation("o", ["key"])]);
  const open = { ...ROUTE, isPublic: true };
  const none = { kind: serving.CredentialKind.None } as const;
  const malformed = { kind: serving.CredentialKind.Malformed } as const;
  const wrong = serving.credentialOf("wrong");
  assert.is(directory.admit(ROUTE, none, isCurrent)._unsafeUnwrapErr(), serving.AccessProblem.MissingKey);
  assert.equal(directory.admit(open, none, isCurrent)._unsafeUnwrap(), { restricted: true, organisation: undefined });
  for (const route of [ROUTE, open]) {
    assert.is(directory.admit(route, wrong, isCurrent)._unsafeUnwrapErr(), serving.AccessProblem.UnknownKey);
    assert.is(
      directory.admit(route, malformed, isCurrent)._unsafeUnwrapErr(),
      serving.AccessProblem.MalformedCredential,
    );
  }
});

// A key that was added while the key-value service is unreachable would be answered 401, and callers give up after it.
suite("an unknown key is not final while a newer configuration may exist", () => {
  const directory = new serving.OrganisationDirectory([]);
  const admitted = directory.admit(ROUTE, serving.credentialOf("key"), () => false);
  assert.is(admitted._unsafeUnwrapErr(), serving.AccessProblem.UnconfirmedKey);
});

suite("texts that cannot be a key are malformed", () => {
  for (const text of ["", "two words", "a,b", "line\nbreak", "ü", "x".repeat(257)])
    assert.is(serving.credentialOf(text).kind, serving.CredentialKind.Malformed);
  assert.is(serving.credentialOf("x".repeat(256)).kind, serving.CredentialKind.Key);
});

suite("a configuration without organisations restricts nothing, one with an empty list everything", () => {
  const credential = serving.credentialOf("key");
  assert.is(
    new serving.OrganisationDirectory(undefined).admit(ROUTE, credential, isCurrent)._unsafeUnwrap().restricted,
    false,
  );
  assert.ok(new serving.OrganisationDirectory([]).admit(ROUTE, credential, isCurrent).isErr());
});

suite.run();

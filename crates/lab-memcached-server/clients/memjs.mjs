// A client library of others (memjs, Node.js) against a server of the binary protocol: npm install memjs, then
// node memjs.mjs HOST:PORT. It ends with 0 if all that was stored is read as it was. Its prepend is left out: version
// 1.3.2 sends the number of append for it.
import assert from "node:assert/strict";
import memjs from "memjs";

const client = memjs.Client.create(process.argv[2], { timeout: 10, retries: 0 });
const text = async (key) => (await client.get(key)).value?.toString() ?? null;

await client.set("js-k", "value", {});
assert.equal(await text("js-k"), "value");
assert.equal(await text("js-none"), null);
assert.equal(await client.add("js-k", "other", {}), false);
assert.equal(await client.replace("js-k", "third", {}), true);
await client.append("js-k", "!");
assert.equal(await text("js-k"), "third!");
const counted = await client.increment("js-n", 5, { initial: 40 });
assert.equal(counted.value, 40);
assert.equal((await client.increment("js-n", 5, { initial: 40 })).value, 45);
assert.equal((await client.decrement("js-n", 50, { initial: 0 })).value, 0);
assert.equal(await client.delete("js-k"), true);
assert.equal(await client.delete("js-k"), false);
const large = Buffer.alloc(300_000, 7);
await client.set("js-large", large, {});
assert.deepEqual((await client.get("js-large")).value, large);
const many = Array.from({ length: 200 }, (_, n) => client.set(`js-${n}`, String(n), {}));
await Promise.all(many);
const read = await Promise.all(many.map((_, n) => text(`js-${n}`)));
assert.deepEqual(read, many.map((_, n) => String(n)));
client.close();
console.log("memjs: all as it should be");

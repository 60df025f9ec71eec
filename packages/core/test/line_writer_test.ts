import {spawn} from 'node:child_process';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {LineWriter} from '@azurecrank/core';
import {expect} from 'earl';

class FakeStream {
  readonly lines: string[] = [];
  writableLength = 0;

  write(line: string): boolean {
    this.lines.push(line.trim());
    return true;
  }
}

const OPTIONS = {
  maxLinesPerSecond: 10,
  routineLineFraction: 0.5,
  maxBufferedBytes: 100,
};

describe('LineWriter', () => {
  const info = '{"level":"info"}';
  const warn = '{"level":"warn"}';

  it('writes warnings when routine lines have reached their limit', () => {
    const out = new FakeStream();
    const writer = new LineWriter(out, OPTIONS, () => 0);
    for (let i = 0; i < 20; i++) writer.write(info);
    writer.write(warn);
    expect(out.lines.filter(line => line === info).length).toEqual(5);
    expect(out.lines).toInclude(warn);
  });

  it('reports how many lines it dropped', () => {
    const out = new FakeStream();
    let nowMs = 0;
    const writer = new LineWriter(out, OPTIONS, () => nowMs);
    for (let i = 0; i < 8; i++) writer.write(info);
    nowMs = 1000;
    writer.write(info);
    const [report] = out.lines.slice(-2);
    const message = 'log lines left out';
    expect(JSON.parse(report)).toEqual({level: 'warn', message, lines: 3});
  });

  it('drops lines while too many bytes are buffered', () => {
    const out = new FakeStream();
    out.writableLength = 101;
    const writer = new LineWriter(out, OPTIONS, () => 0);
    writer.write(warn);
    expect(out.lines).toEqual([]);
    expect(writer.unreportedDroppedLines).toEqual(1);
  });

  // Guards against writes that block the event loop on a full pipe.
  it('does not block a process whose standard output nobody reads', async () => {
    const module = join(import.meta.dirname, '../src/index.js');
    const program = `
      const {LineWriter} = await import(${JSON.stringify(module)});
      const writer = new LineWriter(process.stdout);
      const line = JSON.stringify({level: 'error', text: 'x'.repeat(2000)});
      setInterval(() => {
        for (let i = 0; i < 50; i++) writer.write(line);
      }, 20);
      setInterval(() => process.stderr.write('tick '), 100);
      setTimeout(() => process.exit(0), 2500);
    `;
    const args = ['--input-type=module', '-e', program];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    let ticks = 0;
    child.stderr.on('data', chunk => {
      ticks += String(chunk).split('tick').length - 1;
    });
    const code = await new Promise(resolve => child.once('exit', resolve));
    expect(code).toEqual(0);
    expect(ticks).toBeGreaterThan(10);
  });
});

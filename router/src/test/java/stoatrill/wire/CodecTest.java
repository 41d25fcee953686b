package stoatrill.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Batches and records: the examples of the protocol documentation, and malformed input that must be rejected. */
class CodecTest {
    private static final String SETTINGS = """
      allowed.cancel=true
      allowed.maxAttempts=6
      allowed.maxRetryAfter=1000000000
      allowed.mayProbe=true
      allowed.peers=true
      allowed.retryAfter=true
      allowed.secondCopies=true
      allowed.someNewKey=7
      classes.count=1
      classes.0.aim=500000000
      classes.0.gain=3.0
      classes.0.giveUp=1500000000
      classes.0.lateWorth=0.2
      classes.0.name=view
      classes.0.semantics=pure
      discovery=on_request
      familyInfo.holdsFor=50000000
      familyInfo.oldestData=300000000
      familyInfo.progressTold=true
      familyInfo.readLevel=eventual
      familyInfo.serverChecks=await
      familyInfo.showsRole=off
      familyInfo.tokenMode=brought
      familyInfo.zero=576488313397000
      me=1
      overShareWorth=0.1
      replicasOfMe=2
      report.columns=x0,x1
      report.how=inline
      rules.answerSlack=20000000
      rules.coldFrom=0.17
      rules.drainGrace=2000000000
      rules.tipAfter=1500000000
      rules.tipMultiple=4.0
      rules.warmAfter=13000000000
      step=5000000
      zone=0
      """;
    private static final String LIST = """
      6e 00000000 02000000
      0000803f 00 0000000000000000 0000803f 0000 0a124a07 c32b 0b00 00
      00000000 00 009d966b01000000 0000c03f 0100 0a9011f2 ec2b 0b00 00
      14 02 29000000 00000000
      """;
    private static final String REQUEST = "1e c4913a5dee420a00 640ad2557c3bf091 00003041 90dbb60302000000"
            + "001bb70000000000 0040ce43 01 00000000 0000";

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    /** Returns a batch of these records at the clock time of the examples. */
    private static byte[] batch(byte[] records) {
        return ByteBuffer.allocate(12 + records.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(8 + records.length)
                .putLong(0x1f568bf90L)
                .put(records)
                .array();
    }

    private static byte[] createInstance(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        byte[] list = hex(LIST);
        return ByteBuffer.allocate(18 + text.length + list.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .put((byte) 120)
                .putInt(3)
                .put((byte) 10)
                .putLong(42)
                .putInt(text.length)
                .put(text)
                .put(list)
                .array();
    }

    private static byte[] run(byte[]... batches) throws IOException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] batch : batches) {
            in.write(batch);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimhostLoop(new ByteArrayInputStream(in.toByteArray()), out).run();
        return out.toByteArray();
    }

    private static String rejectionMessage(byte[]... batches) {
        return assertThrows(MalformedInputException.class, () -> run(batches)).getMessage();
    }

    @Test
    void answersEmptyBatchWithEmptyReply() throws IOException {
        assertEquals("0000000000000000", HexFormat.of().formatHex(run(hex("08000000 90bf68f501000000"))));
    }

    @Test
    void readsExampleBatchFieldByField() throws IOException {
        BatchReader in = new BatchReader(new ByteArrayInputStream(hex("54000000 90bf68f501000000 78 03000000"
                + REQUEST
                + "46 4d00000000000000 78 05000000 3c 192b6f0eae4b0800")));
        assertTrue(in.readBatch());
        assertEquals(0x1f568bf90L, in.u64());
        assertEquals(120, in.readCode());
        assertEquals(3, in.u32());
        assertEquals(30, in.readCode());
        assertEquals(0x000a42ee5d3a91c4L, in.u64());
        assertEquals(0x91f03b7c55d20a64L, in.u64());
        assertEquals(11f, in.f32());
        assertEquals(0x203b6db90L, in.u64());
        assertEquals(12_000_000, in.u64());
        assertEquals(412.5f, in.f32());
        assertEquals(1, in.u8());
        assertEquals(0, in.u32());
        assertEquals(0, in.u16());
        assertEquals(70, in.readCode());
        assertEquals(77, in.u64());
        assertEquals(120, in.readCode());
        assertEquals(5, in.u32());
        assertEquals(60, in.readCode());
        assertEquals(0x084bae0e6f2b19L, in.u64());
        assertFalse(in.hasMore());
        assertFalse(in.readBatch());
    }

    @Test
    void writesExampleReplyByteForByte() throws IOException {
        ReplyWriter reply = new ReplyWriter();
        reply.send(3, 0x000a42ee5d3a91c4L, 0x0a124a072bc3L, 80_000_000);
        reply.timer(3, 500_000_000, 77);
        reply.log(5, "two servers known");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.flush(out);
        assertEquals(
                "05000000" + "46000000" + "8203000000" + "0ac4913a5dee420a00" + "0a124a07c32b"
                        + "00b4c40400000000"
                        + "320065cd1d00000000" + "4d00000000000000" + "8205000000"
                        + "5a110074776f2073657276657273206b6e6f776e",
                HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void acceptsEveryEventOfAnInstanceInOneBatch() throws IOException {
        byte[] events = hex("78 03000000"
                + REQUEST
                + "28 c4913a5dee420a00 d0248d0000000000 00 0a124a07 c32b"
                + "32 c4913a5dee420a00 00 0a124a07 c32b 0a00 a0491a0100000000 01 8e630000 02 2b87c642 00000000"
                + "50 0a9011f2 ec2b c05c150000000000 0a00 02 2b87c642 00000000"
                + "5a 02000000 0400 68692037 3c c4913a5dee420a00 46 4d00000000000000 64");
        byte[] eventsThenCreate = new byte[events.length + createInstance(SETTINGS).length];
        System.arraycopy(events, 0, eventsThenCreate, 0, events.length);
        System.arraycopy(createInstance(SETTINGS), 0, eventsThenCreate, events.length, createInstance(SETTINGS).length);
        String reply = HexFormat.of().formatHex(run(batch(createInstance(SETTINGS)), batch(eventsThenCreate)));
        assertTrue(reply.contains("0ac4913a5dee420a00"), "the request is forwarded to a server");
    }

    @Test
    void reportsTruncatedBatch() {
        assertEquals("batch 1: input ends inside the length field", rejectionMessage(hex("0800")));
        assertEquals("batch 1: input ends after 2 of 8 bytes", rejectionMessage(hex("08000000 90bf")));
        assertEquals("batch 1: invalid length 7", rejectionMessage(hex("07000000 90bf68f5010000")));
        assertEquals(
                "batch 1, byte 12: the record runs past the end of the batch", rejectionMessage(batch(hex("78 0300"))));
    }

    @Test
    void reportsInvalidRecord() {
        assertEquals(
                "batch 2, byte 17: unknown event code 99",
                rejectionMessage(batch(createInstance(SETTINGS)), batch(hex("78 03000000 63"))));
        assertEquals(
                "batch 1, byte 17: event 60 for instance 3, which does not exist",
                rejectionMessage(batch(hex("78 03000000 3c 192b6f0eae4b0800"))));
        assertEquals(
                "batch 1, byte 12: a count of 9000 does not fit the batch",
                rejectionMessage(batch(hex("6e 00000000 28230000"))));
        assertEquals(
                "batch 2, byte 17: no list with number 5",
                rejectionMessage(batch(createInstance(SETTINGS)), batch(hex("78 03000000 14 02 29000000 05000000"))));
    }

    @Test
    void reportsInvalidSettingAndSkipsUnknownOne() throws IOException {
        assertTrue(run(batch(createInstance(SETTINGS))).length > 8);
        assertEquals(
                "settings: step is missing; a value is expected",
                rejectionMessage(batch(createInstance(SETTINGS.replace("step=5000000\n", "")))));
        assertEquals(
                "settings: step is soon; a whole number from 1 on is expected",
                rejectionMessage(batch(createInstance(SETTINGS.replace("step=5000000", "step=soon")))));
        assertEquals(
                "settings: discovery is guessed; one of [on_request, pushed] is expected",
                rejectionMessage(batch(createInstance(SETTINGS.replace("=on_request", "=guessed")))));
    }
}

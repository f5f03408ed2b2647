import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
L=r.choice([34,41,50])
SV=["agatemoor-pool","rounds-app"]
F=[];P=[]
c=r.choice
def core():
    base=c(["core_cut","core_cut","core_cut","node_kill","node_freeze","node_cut","platform_down","platform_lost","platform_compact","srv_cut","zone_cut","herd_kill","after_ack_kill","replace","reset","clock"])
    if base=="core_cut":
        how=c(["seeds","both","lure","relieve","behind","split","all","near","one_way","oldest","seeds meet","lure drain","both race","relieve meet","split race","all lure","near relieve","reset lure","refuse relieve","one_way lure","one_way relieve"])
        return dict(kind="core_cut",count=c([1,1,2]),for_s=c([4.0,5.5]),how=how)
    if base=="node_kill": return dict(kind="node_kill",on="core",count=1,for_s=3.5,how=c(["leader","reader","seed","reader race drain","reader meet drain","seed meet drain","leader race drain","reader power","turn"]))
    if base=="node_freeze": return dict(kind="node_freeze",on="core",count=1,for_s=4.0,how=c(["reader","reader meet","reader race","leader meet drain","seed","reader drain","renewed"]))
    if base=="node_cut": return dict(kind="node_cut",share=c([.17,.3]),for_s=c([5.5,8]),how=c(["all","all meet","servers","servers reborn","reader meet","reader drain","reset revoke","refuse meet","all revoke","reader revoke"]))
    if base=="platform_down": return dict(kind="platform_down",for_s=c([4.5,8]),share=.35,how=c(["busy lapse","silent lapse","reset lapse","nodes many leader","nodes busy leader drain","nodes reset leader meet drain","nodes many revoke meet drain","nodes leader revoke","nodes silent drain","silent","busy"]))
    if base=="platform_lost": return dict(kind="platform_lost",x=.35,for_s=4.5,how=c(["","late"]))
    if base=="platform_compact": return dict(kind="platform_compact",x=6.0,for_s=12.0,how=c(["","drain"]))
    if base=="srv_cut": return dict(kind="srv_cut",share=.2,for_s=c([4,6]),x=.3,service=c(SV),how=c(["","fronts","some","some one_way","some lossy","one_way","reset","reborn","fronts reborn","some reborn","fronts one_way"]))
    if base=="zone_cut": return dict(kind="zone_cut",for_s=5.5,how=c(["drop","reset","drop meet","refuse","drop drain"]))
    if base=="herd_kill": return dict(kind="herd_kill",share=.55,for_s=2.0,on="core",how=c(["power","","off"]))
    if base=="after_ack_kill": return dict(kind="after_ack_kill",for_s=3.0,how=c(["","timed","kill","kill timed"]),count=c([1,2]))
    if base=="replace": return dict(kind="replace_with_reuse",share=.15,how=c(["","drain","dark","drain dark"]),**({"service":c(SV)}))
    if base=="reset": return dict(kind="reset_conns",share=.1,x=.5)
    return dict(kind="clock_step",share=.39,x=3270.0,for_s=6.0,how=c(["ahead","back"]))
def planned():
    b=c(["scale_in","release","roll","hup","storm","change","big","revoke","add","out"])
    return {"scale_in":dict(kind="scale_in",share=c([.13,.25]),service=c(SV),how=c(["","spot"])),
    "release":dict(kind="release",share=.45,x=1.0,gap_s=1.0,service=c(SV)),
    "roll":dict(kind="roll_term",share=.45,x=1.0,gap_s=1.0,how=c(["","busy","remove","leader","starter"])),
    "hup":dict(kind="hup",share=.6,gap_s=2.0),"storm":dict(kind="config_storm",for_s=4.0,gap_s=.33),
    "change":dict(kind="config_change",how=c(["route","weights","timeout","tenant","quota","idle"])),
    "big":dict(kind="big_config",count=350),"revoke":dict(kind="revoke",count=2,gap_s=.5,how=c(["","last"])),
    "add":dict(kind="add_nodes",share=.8),"out":dict(kind="scale_out",share=.25,gap_s=1.0)}[b]
n=r.randint(2,4)
for _ in range(n):
    d=core(); d["at"]=round(r.uniform(1,L-12),2); F.append(d)
for _ in range(r.randint(2,5)):
    d=planned(); d["at"]=round(r.uniform(1,L-8),2); P.append(d)
# cluster
if r.random()<.7:
    a=F[0]["at"]
    for d in P[:3]: d["at"]=round(max(.5,a+r.uniform(-1,F[0].get("for_s",3)+1.5)),2)
    if len(F)>1: F[1]["at"]=round(max(.5,a+r.uniform(-1,6)),2)
def tv(v): return '"%s"'%v if isinstance(v,str) else repr(v)
def tl(n,l): return n+" = [\n"+"".join("  { "+", ".join(f"{k} = {tv(v)}" for k,v in d.items() if v!="")+" },\n" for d in l)+"]\n"
out=f'[[day]]\nname = "fz-{seed}"\nlength_s = {float(L)}\n'
x=r.random()
if x<.35: out+='closing = { kind = "%s", down_s = 1.3%s }\n'%c([("power_off_all",', how = "all"'),("power_off_all",""),("kill_all",""),("wipe_after_ack",""),("kill_all",', how = "timed"'),("power_off_all",', how = "timed"')])
print(out+tl("plan",P)+tl("faults",F))
